package dev.foxtailshed.standins;

import dev.foxtailshed.standins.internal.http.StandInServer;
import dev.foxtailshed.standins.internal.platform.PlatformCallHandler;
import java.io.IOException;
import java.net.InetSocketAddress;

/**
 * An in-memory stand-in for the platform's object API and instance list.
 *
 * <pre>{@code
 * try (PlatformStandIn platform = PlatformStandIn.builder().start()) {
 *     callTheApiAt(platform.address());
 * }
 * }</pre>
 *
 * <p>Thread-safe. Calls with malformed names, bodies or conditions are refused.
 */
public final class PlatformStandIn implements AutoCloseable {

    private final StandInServer server;

    private PlatformStandIn(StandInServer server) {
        this.server = server;
    }

    /** Returns a builder with a loopback address and a port chosen by the system. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the address that the stand-in listens on. */
    public InetSocketAddress address() {
        return server.address();
    }

    /** Stops listening and discards all objects. */
    @Override
    public void close() {
        server.close();
    }

    /** Builds a {@link PlatformStandIn}; for use by one thread. */
    public static final class Builder {

        private InetSocketAddress listen = new InetSocketAddress("127.0.0.1", 0);

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
         * Starts the stand-in.
         *
         * @return the running stand-in
         * @throws IOException if the stand-in cannot listen on the address
         */
        public PlatformStandIn start() throws IOException {
            StandInServer server = new StandInServer(listen);
            server.start(new PlatformCallHandler(server)::handle);
            return new PlatformStandIn(server);
        }
    }
}
