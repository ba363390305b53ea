package dev.foxtailshed.integration;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonObject;
import dev.foxtailshed.harness.Completion;
import dev.foxtailshed.harness.HttpCaller.Response;
import dev.foxtailshed.harness.Installation;
import dev.foxtailshed.harness.JavaProcess;
import dev.foxtailshed.harness.Waiting;
import dev.foxtailshed.kernel.AttemptId;
import dev.foxtailshed.kernel.Verdict;
import dev.foxtailshed.wire.Connection;
import dev.foxtailshed.wire.FrameClient;
import dev.foxtailshed.wire.FrameTransport;
import dev.foxtailshed.wire.Message;
import dev.foxtailshed.wire.SharedKey;
import dev.foxtailshed.wire.WorkKind;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.AfterTestExecutionCallback;
import org.junit.jupiter.api.extension.RegisterExtension;

/**
 * Tests that a sidecar which was frozen, replaced and resumed has no lasting effect on its engine:
 * an engine that checks fencing numbers refuses its commands; on any other engine, the new sidecar
 * cancels its requests.
 */
class FencingIT {

    private static final long LIMIT_MILLIS = 20_000;
    private static final String LONG_PROMPT = "a ".repeat(11_000).trim();
    private static final String REPLACED = "E4110 SIDECAR_REPLACED";
    private static final AttemptId ATTEMPT = new AttemptId(77, 1, 0);

    private static final ThreadFactory DAEMON_THREAD_FACTORY =
            task -> {
                Thread thread = new Thread(task, "frames");
                thread.setDaemon(true);
                return thread;
            };

    private static Installation site;

    @RegisterExtension
    static final AfterTestExecutionCallback EVIDENCE_PRINTER =
            context -> {
                if (context.getExecutionException().isPresent()) {
                    System.err.println(site.eventLogs());
                    for (String server : List.of("p1", "p2", "d1", "d2")) {
                        String counts = site.readBackendState(server, "/control/counts").toString();
                        System.err.println("--- counts of " + server + "\n" + counts);
                    }
                }
            };

    /**
     * Leases, grants and exports outlast the tests, so that only fencing can stop a late commit and
     * only a late cancellation can lose an export.
     */
    @BeforeAll
    static void start() throws IOException {
        site =
                Installation.builder()
                        .manifest(manifestWithTwoPrefillServers())
                        .sidecarArguments("--lease-millis", "60000", "--grant-millis", "60000")
                        .engineArguments("--token-millis", "2", "--export-ttl-millis", "60000")
                        .start();
    }

    @AfterAll
    static void stop() {
        site.close();
    }

    @Test
    void lateCommitHasNoEffectOnEngineThatChecksFencing() throws Exception {
        try (LateCommit lateCommit = new LateCommit("p1")) {
            long tokensBefore = readCount("p1", "prefilledTokens");
            long refusedBefore = readCount("p1", "ordersRefused");
            lateCommit.commitAndReplaceFrozenSidecar();

            Message reply = lateCommit.awaitReply();

            assertThat(reply).isInstanceOf(Message.Failed.class);
            assertThat(((Message.Failed) reply).verdict()).isEqualTo(Verdict.NOT_RUN);
            assertThat(readCount("p1", "ordersRefused")).isGreaterThan(refusedBefore);
            assertThat(readCount("p1", "prefilledTokens")).isEqualTo(tokensBefore);
            assertThat(readCount("p1", "heldPieces")).isZero();
        }
    }

    @Test
    void lateCommitIsCancelledOnEngineThatDoesNotCheckFencing() throws Exception {
        try (LateCommit lateCommit = new LateCommit("p2")) {
            lateCommit.commitAndReplaceFrozenSidecar();
            String orphanCancelled = "E4103 ORPHAN_CANCELLED request=";
            Waiting.await(
                    "the replacement cancels the late request",
                    LIMIT_MILLIS,
                    () -> site.sidecar("p2").errorOutput().contains(orphanCancelled));
            Waiting.await(
                    "no KV piece is held", LIMIT_MILLIS, () -> readCount("p2", "heldPieces") == 0);
            long cancelsBefore = readCount("p2", "cancels");

            site.registerSidecar("p1", "leaving");
            Waiting.await("p1 is leaving", LIMIT_MILLIS, () -> isLeaving("p1"));
            // Each prompt is new, so that its prefill is not shortened by the prefix cache.
            for (int i = 0; i < 20 && !lateCommit.sidecar.errorOutput().contains(REPLACED); i++) {
                String prompt = "q" + i + " " + LONG_PROMPT;
                Completion completion = new Completion("summaries", "m1", prompt, 5);
                assertThat(site.complete(0, completion).body()).contains(completion.expectedText());
            }

            assertThat(lateCommit.sidecar.errorOutput()).contains(REPLACED);
            // The entry runs a cancelled prefill elsewhere without reporting a retry.
            assertThat(readCount("p2", "cancels")).isEqualTo(cancelsBefore);
            assertThat(site.entry(0).errorOutput()).doesNotContain("REQUEST_RETRIED");
        } finally {
            site.registerSidecar("p1", "live");
            site.awaitServing(0);
        }
    }

    @Test
    void engineSidecarTakesNoWorkWithoutFencingNumber() throws Exception {
        site.sidecar("d1").kill();
        site.setPlatformFaults("{\"outage\":true}");
        long readsBefore = countPlatformReads("d1");
        CompletableFuture<Void> restarted =
                CompletableFuture.runAsync(() -> site.restartSidecar("d1"));
        Waiting.await(
                "the sidecar retries to obtain a fencing number",
                LIMIT_MILLIS,
                () -> countPlatformReads("d1") > readsBefore + 3);
        assertThat(restarted).isNotDone();
        Completion completion = new Completion("drafts", "m1", "meanwhile", 5);
        Response meanwhile = site.complete(0, completion);
        assertThat(meanwhile.body()).contains(completion.expectedText());

        site.setPlatformFaults("{}");

        restarted.get(LIMIT_MILLIS, TimeUnit.MILLISECONDS);
        site.awaitServing(0);
    }

    private static String manifestWithTwoPrefillServers() throws IOException {
        try (InputStream stream = Installation.class.getResourceAsStream("small.json")) {
            return new String(stream.readAllBytes(), StandardCharsets.UTF_8)
                    .replace(
                            "{\"name\": \"d1\",",
                            "{\"name\": \"p2\", \"pool\": \"prefill\", \"zone\": \"b\","
                                    + " \"checksFencing\": false}, {\"name\": \"d1\",");
        }
    }

    private static long readCount(String server, String name) {
        return site.readBackendState(server, "/control/counts").get(name).getAsLong();
    }

    private static long countPlatformReads(String instance) {
        JsonObject counts = platformCounts().getAsJsonObject("byInstance");
        return counts.has(instance) ? counts.getAsJsonObject(instance).get("reads").getAsLong() : 0;
    }

    private static JsonObject platformCounts() {
        try {
            return site.http().call("GET", site.platform(), "/control/counts", Map.of(), "").json();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static boolean isLeaving(String server) {
        try {
            String status = site.getAsOperator(0, "status").body().replace(" ", "");
            return status.matches("(?s).*\"name\":\"" + server + "\"[^}]*\"state\":\"leaving\".*");
        } catch (IOException e) {
            return false;
        }
    }

    /** A commit that is sent to a frozen sidecar, which is replaced and then resumed. */
    private static final class LateCommit implements Connection.Listener, AutoCloseable {
        private final String server;
        private final JavaProcess sidecar;
        private final BlockingQueue<Message> replies = new LinkedBlockingQueue<>();
        private final CompletableFuture<Connection> opened = new CompletableFuture<>();
        private final FrameTransport transport =
                FrameTransport.builder()
                        .key(new SharedKey(Installation.KEY))
                        .name("late-entry")
                        .incarnation(ATTEMPT.entryIncarnation())
                        .executor(Executors.newCachedThreadPool(DAEMON_THREAD_FACTORY))
                        .build();
        private final FrameClient client = transport.newClient();

        LateCommit(String server) {
            this.server = server;
            this.sidecar = site.sidecar(server);
        }

        void commitAndReplaceFrozenSidecar() throws Exception {
            client.connect(sidecar.address(), this);
            Connection connection = opened.get(LIMIT_MILLIS, TimeUnit.MILLISECONDS);
            connection.send(
                    new Message.Offer(
                            ATTEMPT, WorkKind.PREFILL, "summaries", 1, 700, 11_000, 0, 0));
            assertThat(awaitReply()).isInstanceOf(Message.Grant.class);
            sidecar.freeze();
            connection.send(
                    new Message.Commit(
                            ATTEMPT, new Message.PrefillWork("m1", LONG_PROMPT, 0, 60_000)));
            site.restartSidecar(server);
            site.awaitServing(0);
            sidecar.resume();
        }

        Message awaitReply() throws InterruptedException {
            Message reply = replies.poll(LIMIT_MILLIS, TimeUnit.MILLISECONDS);
            assertThat(reply).as("a reply to the attempt").isNotNull();
            return reply;
        }

        @Override
        public void onOpen(Connection connection, Connection.Peer peer) {
            opened.complete(connection);
        }

        @Override
        public void onMessage(Connection connection, Message message) {
            if (message instanceof Message.Grant
                    || message instanceof Message.Refuse
                    || message instanceof Message.Failed
                    || message instanceof Message.Prefilled) {
                replies.add(message);
            }
        }

        @Override
        public void onClose(Connection connection, String reason) {
            opened.completeExceptionally(new IOException(reason));
        }

        @Override
        public void close() {
            client.close();
            transport.close();
            sidecar.close();
        }
    }
}
