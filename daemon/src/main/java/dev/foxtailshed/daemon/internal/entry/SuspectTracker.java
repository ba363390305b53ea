package dev.foxtailshed.daemon.internal.entry;

import dev.foxtailshed.daemon.internal.events.EventCode;
import dev.foxtailshed.daemon.internal.events.EventLog;
import dev.foxtailshed.daemon.internal.events.Field;
import dev.foxtailshed.kernel.ErrorCode;
import dev.foxtailshed.kernel.RequestFailure;
import dev.foxtailshed.kernel.TimerService;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.Optional;
import java.util.Set;

/**
 * What one request has to do with crashes of backend servers.
 *
 * <p>A suspect is on trial at the servers that it uses until its prompt is read there, or until it
 * has got further there than in the run that crashed. Confined to the serial executor of its
 * request.
 */
final class SuspectTracker {

    /** A run that got as far as this without a crash says little by getting further. */
    private static final int TELLING_TOKENS = 8;

    private static final int MARGIN_TOKENS = 2;

    private final SuspectRegistry board;
    private final TimerService timer;
    private final String deployment;
    private final String prompt;
    private final Set<String> onTrialAt = new HashSet<>();
    private Optional<String> digest = Optional.empty();
    private int runTokens;
    private int crashedRunTokens;

    SuspectTracker(SuspectRegistry board, TimerService timer, String deployment, String prompt) {
        this.board = board;
        this.timer = timer;
        this.deployment = deployment;
        this.prompt = prompt;
    }

    /** Returns why the request must not run, if it crashed too many servers. */
    Optional<RequestFailure> refusal() {
        if (board.suspects().all().isEmpty() || !board.suspects().isRefused(digest())) {
            return Optional.empty();
        }
        EventLog.log(EventCode.SUSPECT_REFUSED, Field.of("digest", digest()));
        return Optional.of(
                RequestFailure.notRun(
                        ErrorCode.SUSPECT_REFUSED,
                        "backend servers crashed twice while they ran this request"));
    }

    /** Adds the servers that run another suspect, if this request is one itself. */
    Set<String> excluded(Set<String> others) {
        if (!isSuspect()) {
            return others;
        }
        Set<String> all = new HashSet<>(board.suspectIsolation().servers());
        all.removeAll(onTrialAt);
        all.addAll(others);
        return all;
    }

    /** Takes a server for a trial; false if another suspect has it. */
    boolean begin(String server) {
        if (!isSuspect()) {
            return true;
        }
        boolean begun = board.suspectIsolation().tryStart(server, digest());
        if (begun) {
            onTrialAt.add(server);
        }
        return begun;
    }

    /** The request left a server, or got through what it had to do there. */
    void end(String server) {
        if (onTrialAt.remove(server)) {
            board.suspectIsolation().finish(server, digest());
        }
    }

    void endAll() {
        Set.copyOf(onTrialAt).forEach(this::end);
    }

    void runBegins() {
        runTokens = 0;
    }

    void wrote(int tokens, String server) {
        runTokens += tokens;
        if (runTokens > Math.min(crashedRunTokens, TELLING_TOKENS) + MARGIN_TOKENS) {
            end(server);
        }
    }

    void crashed(Attempt attempt) {
        String server = attempt.link().serverName();
        crashedRunTokens = runTokens;
        if (board.suspectIsolation().mayHaveCausedCrash(server, digest(), timer.nowMillis())) {
            EventLog.log(
                    EventCode.SUSPECT_NOTED,
                    Field.of("digest", digest()),
                    Field.of("server", server));
            board.crashed(digest(), server + " " + attempt.id().label());
        }
    }

    /** The request ran to its end, so it crashes nobody. */
    void answered() {
        if (isSuspect()) {
            board.cleared(digest());
        }
    }

    private boolean isSuspect() {
        return !board.suspects().all().isEmpty() && board.suspects().isSuspect(digest());
    }

    private String digest() {
        if (digest.isEmpty()) {
            byte[] bytes = (deployment + "\n" + prompt).getBytes(StandardCharsets.UTF_8);
            digest = Optional.of(HexFormat.of().formatHex(sha256().digest(bytes)));
        }
        return digest.get();
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JDK has SHA-256", e);
        }
    }
}
