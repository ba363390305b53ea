package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.manifest.BackendServer;
import dev.foxtailshed.kernel.manifest.Deployment;
import dev.foxtailshed.kernel.manifest.Manifest;
import dev.foxtailshed.kernel.manifest.ManifestInForce;
import dev.foxtailshed.kernel.manifest.Policy;
import dev.foxtailshed.kernel.manifest.Pool;
import dev.foxtailshed.kernel.manifest.RequestClass;
import dev.foxtailshed.kernel.manifest.Route;
import dev.foxtailshed.wire.Message;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;

/**
 * A call to a plain service, resolved against a manifest.
 *
 * @param inForce the manifest and its version
 * @param deployment the deployment
 * @param policy its policy
 * @param pool its pool
 * @param route the route that matched
 * @param requestClass the route's class
 * @param work the call
 */
record ResolvedCall(
        ManifestInForce inForce,
        Deployment.Plain deployment,
        Policy policy,
        Pool pool,
        Route route,
        RequestClass requestClass,
        Message.CallWork work) {

    List<BackendServer> servers() {
        return inForce.manifest().orElseThrow().serversOf(pool.name());
    }

    /** Resolves the call anew if another manifest took hold; its route and class stay. */
    Either<RequestFailure, ResolvedCall> under(ManifestInForce now) {
        if (now.version() == inForce.version()) {
            return Either.right(this);
        }
        Manifest manifest = now.manifest().orElseThrow();
        Optional<Route> stillServed =
                manifest.findRoute(deployment.name(), work.method(), work.path());
        if (stillServed.isPresent()
                && manifest.deployment(deployment.name()).orElse(null)
                        instanceof Deployment.Plain plain) {
            return Either.right(
                    new ResolvedCall(
                            now,
                            plain,
                            manifest.policy(plain.policy()).orElseThrow(),
                            manifest.pool(plain.pool()).orElseThrow(),
                            route,
                            requestClass,
                            work));
        }
        return Either.left(
                RequestFailure.notRun(
                        ErrorCode.NOT_FOUND, "the manifest now in force has no such route"));
    }
}
