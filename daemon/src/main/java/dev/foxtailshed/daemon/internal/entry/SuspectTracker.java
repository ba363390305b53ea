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
 * Tracks one request's involvement in crashes of backend servers.
 *
 * <p>A suspect is isolated at each server that it uses, until prefill completes there or until its
 * run has produced more tokens there than the run that crashed. Confined to the serial executor of
 * its request.
 */
final class SuspectTracker {

    /**
     * Tokens, plus the margin, after which the isolation always ends: more progress adds little
     * evidence.
     */
    private static final int MAXIMUM_ISOLATION_TOKENS = 8;

    private static final int MARGIN_TOKENS = 2;

    private final SuspectRegistry registry;
    private final TimerService timer;
    private final String deployment;
    private final String prompt;
    private final Set<String> isolatedAt = new HashSet<>();
    private Optional<String> digest = Optional.empty();
    private int runTokens;
    private int crashedRunTokens;

    SuspectTracker(SuspectRegistry registry, TimerService timer, String deployment, String prompt) {
        this.registry = registry;
        this.timer = timer;
        this.deployment = deployment;
        this.prompt = prompt;
    }

    /** Returns a failure if the request must not run because it crashed too many servers. */
    Optional<RequestFailure> refusal() {
        if (registry.suspects().all().isEmpty() || !registry.suspects().isRefused(digest())) {
            return Optional.empty();
        }
        EventLog.log(EventCode.SUSPECT_REFUSED, Field.of("digest", digest()));
        return Optional.of(
                RequestFailure.notRun(
                        ErrorCode.SUSPECT_REFUSED,
                        "backend servers crashed twice while they ran this request"));
    }

    /**
     * Returns the given servers and, if this request is a suspect, those that run another suspect.
     */
    Set<String> excluded(Set<String> others) {
        if (!isSuspect()) {
            return others;
        }
        Set<String> all = new HashSet<>(registry.suspectIsolation().servers());
        all.removeAll(isolatedAt);
        all.addAll(others);
        return all;
    }

    /**
     * Isolates the request at a server if it is a suspect; returns false if another one is isolated
     * there.
     */
    boolean isolate(String server) {
        if (!isSuspect()) {
            return true;
        }
        boolean isolated = registry.suspectIsolation().tryStart(server, digest());
        if (isolated) {
            isolatedAt.add(server);
        }
        return isolated;
    }

    /** Ends the isolation at a server that the request has left or where it ran without a crash. */
    void endIsolation(String server) {
        if (isolatedAt.remove(server)) {
            registry.suspectIsolation().finish(server, digest());
        }
    }

    void endAllIsolation() {
        Set.copyOf(isolatedAt).forEach(this::endIsolation);
    }

    void onRunStarted() {
        runTokens = 0;
    }

    void onTokens(int tokens, String server) {
        runTokens += tokens;
        if (runTokens > Math.min(crashedRunTokens, MAXIMUM_ISOLATION_TOKENS) + MARGIN_TOKENS) {
            endIsolation(server);
        }
    }

    void onCrash(Attempt attempt) {
        String server = attempt.connection().serverName();
        crashedRunTokens = runTokens;
        if (registry.suspectIsolation().mayHaveCausedCrash(server, digest(), timer.nowMillis())) {
            EventLog.log(
                    EventCode.SUSPECT_NOTED,
                    Field.of("digest", digest()),
                    Field.of("server", server));
            registry.addCrash(digest(), server + " " + attempt.id().label());
        }
    }

    /** Clears the suspicion, since the request ran to its end. */
    void onAnswered() {
        if (isSuspect()) {
            registry.clear(digest());
        }
    }

    private boolean isSuspect() {
        return !registry.suspects().all().isEmpty() && registry.suspects().isSuspect(digest());
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
