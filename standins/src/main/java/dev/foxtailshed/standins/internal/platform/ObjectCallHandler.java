package dev.foxtailshed.standins.internal.platform;

import dev.foxtailshed.standins.internal.http.Call;
import dev.foxtailshed.standins.internal.http.Reply;
import dev.foxtailshed.standins.internal.http.StandInServer;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Handles the calls on objects. Thread-safe. */
final class ObjectCallHandler {

    private static final int MAXIMUM_BODY_BYTES = 1024 * 1024;
    private static final Pattern OBJECT_NAME = Pattern.compile("[a-z0-9.-]+(/[a-z0-9.-]+)*");
    private static final Pattern VERSION_TAG = Pattern.compile("\"?([1-9]\\d{0,17})\"?");
    private static final String OCTET_STREAM = "application/octet-stream";

    private final StandInServer server;
    private final ObjectStore store;
    private final CallCounts counts;
    private final AtomicReference<PlatformFaults> faults;

    ObjectCallHandler(
            StandInServer server,
            ObjectStore store,
            CallCounts counts,
            AtomicReference<PlatformFaults> faults) {
        this.server = server;
        this.store = store;
        this.counts = counts;
        this.faults = faults;
    }

    static String callerInstance(Call call) {
        return call.header("X-Instance-Id").orElse("");
    }

    void handle(Call call, String name) {
        if (!OBJECT_NAME.matcher(name).matches()) {
            call.reply(Reply.error(400, "malformed name"));
            return;
        }
        switch (call.method()) {
            case "GET" -> get(call, name);
            case "PUT" -> put(call, name);
            case "DELETE" -> delete(call, name);
            default -> call.reply(Reply.error(405, "method not allowed"));
        }
    }

    private void get(Call call, String name) {
        OptionalLong newerThan = call.longParameter("newerThan");
        if (newerThan.isPresent()) {
            watch(call, name, newerThan.getAsLong());
            return;
        }
        Optional<ObjectStore.StoredObject> stored =
                faults.get().staleReads() ? store.getStale(name) : store.get(name);
        replyStored(call, stored, Reply.error(404, "no such object"));
    }

    private void watch(Call call, String name, long newerThan) {
        ObjectStore.Watch watch =
                store.watch(name, newerThan, change -> replyToWatch(call, change));
        if (!store.isOpen(watch)) {
            return;
        }
        counts.addRead(callerInstance(call));
        long timeoutMillis = Math.max(0, call.longParameter("timeoutMillis").orElse(0));
        call.onCallerDisconnected(() -> store.unwatch(watch));
        server.scheduler()
                .schedule(
                        () -> {
                            if (store.unwatch(watch)) {
                                call.reply(Reply.empty(304));
                            }
                        },
                        timeoutMillis,
                        TimeUnit.MILLISECONDS);
    }

    private void replyToWatch(Call call, ObjectStore.Change change) {
        if (faults.get().outage()) {
            call.reply(Reply.error(503, "outage"));
            return;
        }
        Reply deleted = Reply.error(404, "object deleted").withVersion(change.version());
        replyStored(call, change.stored(), deleted);
    }

    private void replyStored(
            Call call, Optional<ObjectStore.StoredObject> stored, Reply absentReply) {
        if (stored.isEmpty()) {
            call.reply(absentReply);
            return;
        }
        byte[] body = stored.get().body();
        counts.addBytes(callerInstance(call), body.length);
        Reply reply = new Reply(200, Optional.empty(), OCTET_STREAM, body);
        call.reply(reply.withVersion(stored.get().version()));
    }

    private void put(Call call, String name) {
        if (call.body().length > MAXIMUM_BODY_BYTES) {
            call.reply(Reply.error(413, "body too large"));
            return;
        }
        OptionalLong expected = expectedVersion(call);
        if (expected.isEmpty()) {
            call.reply(Reply.error(428, "expected If-Match with a version or If-None-Match: *"));
            return;
        }
        ObjectStore.PutResult result = store.put(name, expected.getAsLong(), call.body());
        if (result.written()) {
            int status = expected.getAsLong() == 0 ? 201 : 200;
            replyToWrite(call, Reply.empty(status).withVersion(result.version()));
        } else {
            replyConflict(call, result.version());
        }
    }

    private void delete(Call call, String name) {
        OptionalLong expected = expectedVersion(call);
        if (expected.isEmpty()) {
            call.reply(Reply.error(428, "expected If-Match with a version or If-None-Match: *"));
            return;
        }
        ObjectStore.DeleteResult result = store.delete(name, expected.getAsLong());
        switch (result.kind()) {
            case DELETED -> replyToWrite(call, Reply.empty(204));
            case CONFLICT -> replyConflict(call, result.version());
            case NOT_FOUND -> call.reply(Reply.error(404, "no such object"));
            default -> throw new AssertionError(result.kind());
        }
    }

    private static void replyConflict(Call call, long currentVersion) {
        Reply conflict = Reply.error(412, "the object has another version");
        call.reply(currentVersion == 0 ? conflict : conflict.withVersion(currentVersion));
    }

    private void replyToWrite(Call call, Reply reply) {
        PlatformFaults before = faults.getAndUpdate(ObjectCallHandler::withOneLostAnswerFewer);
        if (before.loseAnswers() > 0) {
            call.abort();
        } else {
            call.reply(reply);
        }
    }

    private static PlatformFaults withOneLostAnswerFewer(PlatformFaults f) {
        long remaining = Math.max(0, f.loseAnswers() - 1);
        return new PlatformFaults(
                f.outage(), f.delayMillis(), remaining, f.instanceLagMillis(), f.staleReads());
    }

    /**
     * Returns the expected version, 0 if the object must not exist, or empty if no condition is
     * set.
     */
    private static OptionalLong expectedVersion(Call call) {
        if (call.header("If-None-Match").filter("*"::equals).isPresent()) {
            return OptionalLong.of(0);
        }
        return call.header("If-Match")
                .map(VERSION_TAG::matcher)
                .filter(Matcher::matches)
                .map(m -> OptionalLong.of(Long.parseLong(m.group(1))))
                .orElse(OptionalLong.empty());
    }
}
