package dev.foxtailshed.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.junit.jupiter.api.Test;

/**
 * Tests that closing a server does not stop an executor passed to the transport, since other
 * components use it too.
 */
class SharedExecutorTest {

    @Test
    void closingServerLeavesSharedExecutorRunning() throws Exception {
        QueuedThreadPool threads = new QueuedThreadPool();
        threads.start();
        FrameTransport transport =
                FrameTransport.builder()
                        .key(new SharedKey("a key of sixteen letters"))
                        .name("server")
                        .incarnation(1)
                        .executor(threads)
                        .build();
        try {
            FrameServer server = transport.newServer();
            server.listen(
                    new InetSocketAddress("127.0.0.1", 0),
                    () -> {
                        throw new IllegalStateException("unexpected connection");
                    });
            server.close();
            assertThat(threads.isRunning()).isTrue();
        } finally {
            transport.close();
            threads.stop();
        }
    }
}
