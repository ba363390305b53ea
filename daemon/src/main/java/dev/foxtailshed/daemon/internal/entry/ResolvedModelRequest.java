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
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;

/**
 * A request to a model, resolved against a manifest.
 *
 * @param inForce the manifest in force and its version
 * @param deployment the deployment that the request names
 * @param policy the routing policy of the deployment
 * @param requestClass the request class, named by the request or the default of the deployment
 * @param prefillPool the pool that runs prefill
 * @param decodePool the pool that runs decode
 * @param className the class that the request names, if any
 * @param completion the request as the caller sent it
 * @param format the format of the answer
 * @param promptTokens the estimated number of prompt tokens
 * @param maxTokens the limit on output tokens
 */
record ResolvedModelRequest(
        ManifestInForce inForce,
        Deployment.Model deployment,
        Policy policy,
        RequestClass requestClass,
        Pool prefillPool,
        Pool decodePool,
        Optional<String> className,
        CompletionRequest completion,
        AnswerFormat format,
        long promptTokens,
        int maxTokens) {

    static Either<RequestFailure, ResolvedModelRequest> resolve(
            ManifestInForce inForce,
            CompletionRequest completion,
            Optional<String> className,
            AnswerFormat format,
            long promptTokens) {
        Manifest manifest = inForce.manifest().orElseThrow();
        Deployment.Model deployment = null;
        if (manifest.deployment(completion.deployment()).orElse(null)
                instanceof Deployment.Model model) {
            deployment = model;
        }
        if (deployment == null) {
            return Either.left(
                    RequestFailure.notRun(
                            ErrorCode.NOT_FOUND,
                            "$.model: no model deployment is named " + completion.deployment()));
        }
        Optional<RequestClass> requestClass =
                manifest.requestClass(className.orElse(deployment.defaultClass()));
        if (requestClass.isEmpty()) {
            return Either.left(
                    RequestFailure.notRun(
                            ErrorCode.INVALID_REQUEST, "no request class is named " + className));
        }
        ResolvedModelRequest request =
                new ResolvedModelRequest(
                        inForce,
                        deployment,
                        manifest.policy(deployment.policy()).orElseThrow(),
                        requestClass.get(),
                        manifest.pool(deployment.prefillPool()).orElseThrow(),
                        manifest.pool(deployment.decodePool()).orElseThrow(),
                        className,
                        completion,
                        format,
                        promptTokens,
                        completion.maxTokens().orElse(deployment.maximumOutputTokens()));
        return request.checkLimits();
    }

    /** Resolves the request again if the manifest has changed. */
    Either<RequestFailure, ResolvedModelRequest> resolveAgain(ManifestInForce current) {
        return current.version() == inForce.version()
                ? Either.right(this)
                : resolve(current, completion, className, format, promptTokens);
    }

    List<BackendServer> serversOf(Pool pool) {
        return inForce.manifest().orElseThrow().serversOf(pool.name());
    }

    private Either<RequestFailure, ResolvedModelRequest> checkLimits() {
        if (promptTokens > deployment.maximumPromptTokens()) {
            return tooLarge("the prompt has", promptTokens, deployment.maximumPromptTokens());
        }
        if (maxTokens > deployment.maximumOutputTokens()) {
            return Either.left(
                    RequestFailure.notRun(
                            ErrorCode.INVALID_REQUEST,
                            "$.max_tokens: the limit is " + deployment.maximumOutputTokens()));
        }
        long totalTokens = promptTokens + maxTokens;
        if (totalTokens > decodePool.capacityTokens()) {
            return tooLarge("prompt and answer have", totalTokens, decodePool.capacityTokens());
        }
        return Either.right(this);
    }

    private static Either<RequestFailure, ResolvedModelRequest> tooLarge(
            String subject, long tokens, long limitTokens) {
        return Either.left(
                RequestFailure.notRun(
                        ErrorCode.TOO_LARGE,
                        subject + " about " + tokens + " tokens, the limit is " + limitTokens));
    }
}
