package dev.foxtailshed.standins;

import dev.foxtailshed.standins.internal.http.StandInServer;
import dev.foxtailshed.standins.internal.proxy.ProxyControlHandler;
import dev.foxtailshed.standins.internal.proxy.ProxyLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * A TCP proxy that injects the faults set through its control API.
 *
 * <pre>{@code
 * try (ProxyStandIn proxy = ProxyStandIn.builder().pair(anyPort, target).start()) {
 *     connectTo(proxy.addresses().get(0));
 *     putFaultsAt(proxy.controlAddress());
 * }
 * }</pre>
 *
 * <p>Thread-safe. Faults with an unknown mode or direction, a negative delay or a negative rate are
 * refused.
 */
public final class ProxyStandIn implements AutoCloseable {

    private final ProxyLoop loop;
    private final StandInServer control;
    private final List<InetSocketAddress> addresses;

    private ProxyStandIn(ProxyLoop loop, StandInServer control, List<InetSocketAddress> addresses) {
        this.loop = loop;
        this.control = control;
        this.addresses = addresses;
    }

    /** Returns a builder without pairs and with a control port chosen by the system. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the addresses that the proxy listens on, in the order of the pairs. */
    public List<InetSocketAddress> addresses() {
        return addresses;
    }

    /** Returns the address of the control API. */
    public InetSocketAddress controlAddress() {
        return control.address();
    }

    /** Resets all connections and stops listening. */
    @Override
    public void close() {
        control.close();
        loop.close();
    }

    /** Builds a {@link ProxyStandIn}; for use by one thread. */
    public static final class Builder {

        private final List<Pair> pairs = new ArrayList<>();
        private InetSocketAddress control = new InetSocketAddress("127.0.0.1", 0);

        private Builder() {}

        /**
         * Adds a listen address and the target that its connections are forwarded to.
         *
         * @param listen the address; with port 0 the system chooses one
         * @param target the address that connections are forwarded to
         * @return this builder
         */
        public Builder pair(InetSocketAddress listen, InetSocketAddress target) {
            pairs.add(new Pair(listen, target));
            return this;
        }

        /**
         * Sets the listen address of the control API.
         *
         * @param address the address; with port 0 the system chooses one
         * @return this builder
         */
        public Builder control(InetSocketAddress address) {
            control = address;
            return this;
        }

        /**
         * Starts the proxy.
         *
         * @return the running proxy
         * @throws IOException if the proxy cannot listen on an address
         * @throws IllegalArgumentException if there is no pair
         */
        public ProxyStandIn start() throws IOException {
            if (pairs.isEmpty()) {
                throw new IllegalArgumentException(
                        "expected at least one pair of listen and target address");
            }
            ProxyLoop loop = new ProxyLoop();
            List<InetSocketAddress> addresses = new ArrayList<>();
            for (Pair pair : pairs) {
                addresses.add(loop.listen(pair.listen, pair.target));
            }
            StandInServer server = new StandInServer(control);
            server.start(new ProxyControlHandler(loop)::handle);
            loop.start();
            return new ProxyStandIn(loop, server, List.copyOf(addresses));
        }

        private record Pair(InetSocketAddress listen, InetSocketAddress target) {}
    }
}
