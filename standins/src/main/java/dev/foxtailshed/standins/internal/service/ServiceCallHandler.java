package dev.foxtailshed.standins.internal.service;

import dev.foxtailshed.standins.internal.http.Call;
import dev.foxtailshed.standins.internal.http.Json;
import dev.foxtailshed.standins.internal.http.Reply;
import dev.foxtailshed.standins.internal.http.StandInServer;
import java.util.Arrays;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Handles the calls of a plain service and counts their runs. Thread-safe. */
public final class ServiceCallHandler {

    private static final Pattern LARGE_PATH = Pattern.compile("/large/(\\d{1,8})(/|$)");
    private static final int MAXIMUM_LARGE_BYTES = 16 * 1024 * 1024;
    private static final String DELAY_HEADER = "X-Stand-In-Delay-Millis";
    private static final String DELAY_AT_HEADER = "X-Stand-In-Delay-At";

    private final StandInServer server;
    private final Runnable crash;
    private final RunCounter runs = new RunCounter();

    /**
     * Creates the handler without any counted run.
     *
     * @param server the server, whose timer is used
     * @param crash the action of calls to a path that contains {@code /crash}
     */
    public ServiceCallHandler(StandInServer server, Runnable crash) {
        this.server = server;
        this.crash = crash;
    }

    /**
     * Handles one call: returns the counts for {@code /control/runs}, and runs any other call, with
     * the delay before or after the run that its headers set.
     *
     * @param call the call
     */
    public void handle(Call call) {
        if (call.path().equals("/control/runs")) {
            call.reply(Reply.json(200, Json.CAMEL.write(runs.snapshot())));
            return;
        }
        long delayMillis = call.longHeader(DELAY_HEADER).orElse(0);
        boolean runsBeforeDelay = call.header(DELAY_AT_HEADER).filter("after"::equals).isPresent();
        if (runsBeforeDelay) {
            Reply reply = run(call);
            server.runAfterMillis(delayMillis, () -> call.reply(reply));
        } else {
            server.runAfterMillis(delayMillis, () -> call.reply(run(call)));
        }
    }

    private Reply run(Call call) {
        String callId = call.header("X-Call-Id").orElse("");
        String body = call.bodyText();
        long run = runs.add(new RunCounter.RunKey(call.method(), call.path(), body, callId));
        if (call.path().contains("/crash")) {
            crash.run();
        }
        Matcher large = LARGE_PATH.matcher(call.path());
        if (large.find()) {
            return largeReply(Integer.parseInt(large.group(1)));
        }
        ResponseBody responseBody = new ResponseBody(run, call.method(), call.path(), body);
        return Reply.json(200, Json.CAMEL.write(responseBody));
    }

    private static Reply largeReply(int sizeBytes) {
        if (sizeBytes > MAXIMUM_LARGE_BYTES) {
            return Reply.error(400, "at most " + MAXIMUM_LARGE_BYTES + " bytes");
        }
        byte[] body = new byte[sizeBytes];
        Arrays.fill(body, (byte) 'x');
        return new Reply(200, Optional.empty(), "application/octet-stream", body);
    }

    private record ResponseBody(long run, String method, String path, String body) {}
}
