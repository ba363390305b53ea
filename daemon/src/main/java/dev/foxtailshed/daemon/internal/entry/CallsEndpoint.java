package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.daemon.internal.claims.ClaimService;
import dev.foxtailshed.daemon.internal.http.CallerStream;
import dev.foxtailshed.daemon.internal.http.Endpoint;
import dev.foxtailshed.daemon.internal.http.ErrorBody;
import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.manifest.Deployment;
import dev.foxtailshed.kernel.manifest.Manifest;
import dev.foxtailshed.kernel.manifest.ManifestInForce;
import dev.foxtailshed.kernel.manifest.RequestClass;
import dev.foxtailshed.kernel.manifest.Route;
import dev.foxtailshed.wire.Message;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Serves calls to plain services at <code>/apps/DEPLOYMENT/PATH</code>. Thread-safe.
 *
 * <p>A non-idempotent call runs at most once for each <code>Idempotency-Key</code>; without that
 * header each request is a separate call.
 */
final class CallsEndpoint implements Endpoint {

    private static final String PREFIX = "/apps/";
    private static final int MAXIMUM_KEY_LENGTH = 255;

    /** Headers that apply to one connection only and are not forwarded. */
    static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "content-length",
                    "host",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "expect");

    private final EntryContext context;
    private final BodyReader bodyReader;
    private final ClaimService claims;

    CallsEndpoint(EntryContext context, BodyReader bodyReader, ClaimService claims) {
        this.context = context;
        this.bodyReader = bodyReader;
        this.claims = claims;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = request.getHttpURI().getPathQuery();
        if (!path.startsWith(PREFIX)) {
            return false;
        }
        bodyReader.read(
                request, response, callback, body -> serve(request, response, callback, body));
        return true;
    }

    private void serve(Request request, Response response, Callback callback, byte[] body) {
        long arrival = context.nextArrival();
        response.getHeaders().put(BodyReader.REQUEST_HEADER, context.requestLabel(arrival));
        Either<RequestFailure, ResolvedCall> call = resolve(request, body);
        if (call.isLeft()) {
            ErrorBody.write(response, call.getLeft(), callback);
            return;
        }
        List<String> keys = request.getHeaders().getValuesList(KeyedCall.KEY_HEADER);
        if (keys.size() > 1 || keys.stream().anyMatch(key -> !isValidKey(key))) {
            ErrorBody.write(response, invalidKeyFailure(), callback);
            return;
        }
        if (!context.inFlight().enter()) {
            ErrorBody.write(response, BodyReader.drainingFailure(), callback);
            return;
        }
        CallFlow flow = new CallFlow(context, call.get(), arrival);
        Runnable onPartEnded = context.inFlight().exitAfter(CompletionsEndpoint.PARTS_IN_FLIGHT);
        Callback answered = Callback.from(callback, onPartEnded);
        CallerStream caller =
                new CallerStream(
                        request,
                        response,
                        answered,
                        flow::onCallerDisconnected,
                        context.responseBuffers());
        CallAnswerWriter answer = new StreamingAnswerWriter(caller);
        if (keys.isEmpty() || call.get().route().repeatable()) {
            flow.start(answer, onPartEnded);
        } else {
            new KeyedCall(context, claims, call.get(), keys.get(0), flow, answer, onPartEnded)
                    .start();
        }
    }

    private static boolean isValidKey(String key) {
        return !key.isBlank() && key.length() <= MAXIMUM_KEY_LENGTH;
    }

    private static RequestFailure invalidKeyFailure() {
        return RequestFailure.notRun(
                ErrorCode.INVALID_REQUEST,
                "expected one "
                        + KeyedCall.KEY_HEADER
                        + " of 1 to "
                        + MAXIMUM_KEY_LENGTH
                        + " characters");
    }

    private Either<RequestFailure, ResolvedCall> resolve(Request request, byte[] body) {
        ManifestInForce inForce = context.manifests().inForce();
        if (inForce.manifest().isEmpty()) {
            return Either.left(CompletionsEndpoint.noManifestFailure());
        }
        Manifest manifest = inForce.manifest().get();
        String rest = request.getHttpURI().getPathQuery().substring(PREFIX.length());
        int slash = rest.indexOf('/');
        String name = slash < 0 ? rest : rest.substring(0, slash);
        String path = slash < 0 ? "/" : rest.substring(slash);
        Optional<Route> route = manifest.findRoute(name, request.getMethod(), path);
        if (route.isEmpty()
                || !(manifest.deployment(name).orElse(null) instanceof Deployment.Plain plain)) {
            return Either.left(
                    RequestFailure.notRun(
                            ErrorCode.NOT_FOUND,
                            "no route of the manifest matches "
                                    + request.getMethod()
                                    + " "
                                    + path));
        }
        return Either.right(newCall(inForce, plain, route.get(), request, path, body));
    }

    private static ResolvedCall newCall(
            ManifestInForce inForce,
            Deployment.Plain deployment,
            Route route,
            Request request,
            String path,
            byte[] body) {
        Manifest manifest = inForce.manifest().orElseThrow();
        RequestClass requestClass = manifest.requestClass(route.requestClass()).orElseThrow();
        return new ResolvedCall(
                inForce,
                deployment,
                manifest.policy(deployment.policy()).orElseThrow(),
                manifest.pool(deployment.pool()).orElseThrow(),
                route,
                requestClass,
                new Message.CallWork(
                        request.getMethod(),
                        path,
                        headers(request),
                        body,
                        requestClass.timeoutMillis()));
    }

    private static List<Message.Header> headers(Request request) {
        List<Message.Header> headers = new ArrayList<>();
        for (HttpField field : request.getHeaders()) {
            if (!HOP_BY_HOP.contains(field.getLowerCaseName())) {
                headers.add(new Message.Header(field.getName(), field.getValue()));
            }
        }
        return headers;
    }
}
