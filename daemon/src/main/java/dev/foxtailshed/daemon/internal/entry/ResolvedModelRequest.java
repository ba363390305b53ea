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
 * @param inForce the manifest and its version
 * @param deployment the deployment that the request names
 * @param policy its policy
 * @param requestClass the request's class
 * @param prefillPool where the prompt is read
 * @param decodePool where the answer is written
 * @param className the class that the request names, if any
 * @param request the request
 * @param format the form of the answer
 * @param promptTokens estimated prompt tokens
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
        CompletionRequest request,
        AnswerFormat format,
        long promptTokens,
        int maxTokens) {

    static Either<RequestFailure, ResolvedModelRequest> resolve(
            ManifestInForce inForce,
            CompletionRequest request,
            Optional<String> className,
            AnswerFormat format,
            long promptTokens) {
        Manifest manifest = inForce.manifest().orElseThrow();
        Deployment.Model deployment = null;
        if (manifest.deployment(request.deployment()).orElse(null)
                instanceof Deployment.Model model) {
            deployment = model;
        }
        if (deployment == null) {
            return Either.left(
                    RequestFailure.notRun(
                            ErrorCode.NOT_FOUND,
                            "$.model: no model deployment is named " + request.deployment()));
        }
        Optional<RequestClass> requestClass =
                manifest.requestClass(className.orElse(deployment.defaultClass()));
        if (requestClass.isEmpty()) {
            return Either.left(
                    RequestFailure.notRun(
                            ErrorCode.INVALID_REQUEST, "no request class is named " + className));
        }
        ResolvedModelRequest task =
                new ResolvedModelRequest(
                        inForce,
                        deployment,
                        manifest.policy(deployment.policy()).orElseThrow(),
                        requestClass.get(),
                        manifest.pool(deployment.prefillPool()).orElseThrow(),
                        manifest.pool(deployment.decodePool()).orElseThrow(),
                        className,
                        request,
                        format,
                        promptTokens,
                        request.maxTokens().orElse(deployment.maximumOutputTokens()));
        return task.checkLimits();
    }

    /** Resolves the request anew if another manifest took hold. */
    Either<RequestFailure, ResolvedModelRequest> under(ManifestInForce now) {
        return now.version() == inForce.version()
                ? Either.right(this)
                : resolve(now, request, className, format, promptTokens);
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
        long wholeTokens = promptTokens + maxTokens;
        if (wholeTokens > decodePool.capacityTokens()) {
            return tooLarge("prompt and answer have", wholeTokens, decodePool.capacityTokens());
        }
        return Either.right(this);
    }

    private static Either<RequestFailure, ResolvedModelRequest> tooLarge(
            String what, long tokens, long limitTokens) {
        return Either.left(
                RequestFailure.notRun(
                        ErrorCode.TOO_LARGE,
                        what + " about " + tokens + " tokens, the limit is " + limitTokens));
    }
}
