package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.daemon.internal.http.CallerStream;
import dev.foxtailshed.daemon.internal.http.Endpoint;
import dev.foxtailshed.daemon.internal.http.ErrorBody;
import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.manifest.ManifestInForce;
import io.vavr.control.Either;
import java.time.Clock;
import java.util.Optional;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Serves requests in the published completions format. Thread-safe. */
final class CompletionsEndpoint implements Endpoint {

    private static final String COMPLETIONS = "/v1/completions";
    private static final String CHAT_COMPLETIONS = "/v1/chat/completions";
    private static final long MILLIS_PER_SECOND = 1_000;

    /**
     * A request is in flight until its work and its answer have both ended; a slow caller reads the
     * answer long after the work.
     */
    static final int PARTS_IN_FLIGHT = 2;

    private final EntryContext context;
    private final BodyReader bodyReader;
    private final Clock clock;

    CompletionsEndpoint(EntryContext context, BodyReader bodyReader, Clock clock) {
        this.context = context;
        this.bodyReader = bodyReader;
        this.clock = clock;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = Request.getPathInContext(request);
        boolean chat = path.equals(CHAT_COMPLETIONS);
        if (!request.getMethod().equals("POST") || !(chat || path.equals(COMPLETIONS))) {
            return false;
        }
        bodyReader.read(
                request,
                response,
                callback,
                body -> serve(request, response, callback, body, chat));
        return true;
    }

    private void serve(
            Request request, Response response, Callback callback, byte[] body, boolean chat) {
        long arrival = context.nextArrival();
        response.getHeaders().put(BodyReader.REQUEST_HEADER, context.requestLabel(arrival));
        Either<RequestFailure, ResolvedModelRequest> modelRequest =
                CompletionRequest.parse(body, chat)
                        .flatMap(parsed -> resolve(request, parsed, arrival));
        if (modelRequest.isLeft()) {
            ErrorBody.write(response, modelRequest.getLeft(), callback);
            return;
        }
        if (!context.inFlight().enter()) {
            ErrorBody.write(response, BodyReader.drainingFailure(), callback);
            return;
        }
        ModelFlow flow = new ModelFlow(context, modelRequest.get(), arrival);
        Runnable onPartEnded = context.inFlight().exitAfter(PARTS_IN_FLIGHT);
        Callback answered = Callback.from(callback, onPartEnded);
        CallerStream caller =
                new CallerStream(
                        request,
                        response,
                        answered,
                        flow::onCallerDisconnected,
                        context.responseBuffers());
        flow.start(caller, onPartEnded);
    }

    private Either<RequestFailure, ResolvedModelRequest> resolve(
            Request request, CompletionRequest parsed, long arrival) {
        ManifestInForce inForce = context.manifests().inForce();
        if (inForce.manifest().isEmpty()) {
            return Either.left(noManifestFailure());
        }
        String id = context.requestLabel(arrival);
        AnswerFormat format = AnswerFormats.of(parsed, id, clock.millis() / MILLIS_PER_SECOND);
        Optional<String> className =
                Optional.ofNullable(request.getHeaders().get(BodyReader.CLASS_HEADER));
        long promptTokens =
                context.tokenEstimators().estimate(parsed.deployment(), parsed.prompt());
        return ResolvedModelRequest.resolve(inForce, parsed, className, format, promptTokens);
    }

    static RequestFailure noManifestFailure() {
        return RequestFailure.notRun(
                ErrorCode.NO_MANIFEST, "no manifest is in force at this instance");
    }
}
