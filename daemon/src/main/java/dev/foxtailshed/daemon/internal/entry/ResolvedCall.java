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
 * @param inForce the manifest in force and its version
 * @param deployment the deployment that the path names
 * @param policy the routing policy of the deployment
 * @param pool the pool of the deployment
 * @param route the matching route
 * @param requestClass the request class of the route
 * @param work the call as it is sent to a sidecar
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

    /** Resolves the call again if the manifest has changed; route and request class are kept. */
    Either<RequestFailure, ResolvedCall> resolveAgain(ManifestInForce current) {
        if (current.version() == inForce.version()) {
            return Either.right(this);
        }
        Manifest manifest = current.manifest().orElseThrow();
        Optional<Route> currentRoute =
                manifest.findRoute(deployment.name(), work.method(), work.path());
        if (currentRoute.isPresent()
                && manifest.deployment(deployment.name()).orElse(null)
                        instanceof Deployment.Plain plain) {
            return Either.right(
                    new ResolvedCall(
                            current,
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
