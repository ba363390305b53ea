package dev.foxtailshed.standins;

import dev.foxtailshed.standins.internal.engine.EngineCallHandler;
import dev.foxtailshed.standins.internal.http.StandInServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Objects;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ClientConnector;

/**
 * A stand-in for a model engine with continuous batching and exact accounting of its KV cache.
 *
 * <pre>{@code
 * EngineSettings settings = EngineSettings.builder().name("llm-1").role("prefill").build();
 * try (EngineStandIn engine = EngineStandIn.builder().settings(settings).start()) {
 *     sendCompletionsTo(engine.address());
 * }
 * }</pre>
 *
 * <p>Thread-safe. Requests that exceed the free slots or memory are refused with 429.
 */
public final class EngineStandIn implements AutoCloseable {

    private final StandInServer server;
    private final HttpClient client;

    private EngineStandIn(StandInServer server, HttpClient client) {
        this.server = server;
        this.client = client;
    }

    /**
     * Returns a builder with default settings, a loopback address and a port chosen by the system.
     */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the address that the stand-in listens on. */
    public InetSocketAddress address() {
        return server.address();
    }

    /** Stops listening and closes all connections. */
    @Override
    public void close() {
        try {
            client.stop();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        } finally {
            server.close();
        }
    }

    /** Builds an {@link EngineStandIn}; for use by one thread. */
    public static final class Builder {

        private InetSocketAddress listen = new InetSocketAddress("127.0.0.1", 0);
        private EngineSettings settings = EngineSettings.builder().build();
        private Runnable crash = CrashAction.HALT;

        private Builder() {}

        /**
         * Sets the address to listen on.
         *
         * @param address the address; with port 0 the system chooses one
         * @return this builder
         */
        public Builder listen(InetSocketAddress address) {
            listen = address;
            return this;
        }

        /**
         * Sets the settings of the engine.
         *
         * @param value the settings, not null
         * @return this builder
         */
        public Builder settings(EngineSettings value) {
            settings = Objects.requireNonNull(value);
            return this;
        }

        /**
         * Sets the action of prompts that trigger a crash; by default it ends the process.
         *
         * @param action the action, run on a thread of the stand-in
         * @return this builder
         */
        public Builder crash(Runnable action) {
            crash = action;
            return this;
        }

        /**
         * Starts the stand-in.
         *
         * @return the running stand-in
         * @throws IOException if the stand-in cannot listen on the address
         */
        public EngineStandIn start() throws IOException {
            StandInServer server = new StandInServer(listen);
            DeferredCallHandler deferredHandler = new DeferredCallHandler();
            server.start(deferredHandler);
            HttpClient client = startClient(server);
            deferredHandler.setHandler(
                    new EngineCallHandler(settings, server, client, crash)::handle);
            return new EngineStandIn(server, client);
        }

        private static HttpClient startClient(StandInServer server) throws IOException {
            ClientConnector connector = new ClientConnector();
            connector.setSelectors(1);
            connector.setExecutor(server.threads());
            HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
            client.setUserAgentField(null);
            try {
                client.start();
            } catch (Exception e) {
                server.close();
                throw new IOException(e);
            }
            return client;
        }
    }
}
