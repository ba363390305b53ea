package dev.foxtailshed.standins;

import dev.foxtailshed.standins.internal.http.StandInServer;
import dev.foxtailshed.standins.internal.service.ServiceCallHandler;
import java.io.IOException;
import java.net.InetSocketAddress;

/**
 * A stand-in for a plain service that counts the runs of each call.
 *
 * <pre>{@code
 * try (ServiceStandIn service = ServiceStandIn.builder().start()) {
 *     callTheServiceAt(service.address());
 * }
 * }</pre>
 *
 * <p>Thread-safe. Calls for a response body above 16 MiB are refused.
 */
public final class ServiceStandIn implements AutoCloseable {

    private final StandInServer server;

    private ServiceStandIn(StandInServer server) {
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

    /** Stops listening and discards the counts of runs. */
    @Override
    public void close() {
        server.close();
    }

    /** Builds a {@link ServiceStandIn}; for use by one thread. */
    public static final class Builder {

        private InetSocketAddress listen = new InetSocketAddress("127.0.0.1", 0);
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
         * Sets the action of calls to a path that contains {@code /crash}; by default it ends the
         * process.
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
        public ServiceStandIn start() throws IOException {
            StandInServer server = new StandInServer(listen);
            server.start(new ServiceCallHandler(server, crash)::handle);
            return new ServiceStandIn(server);
        }
    }
}
