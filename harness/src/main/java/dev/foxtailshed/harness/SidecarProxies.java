package dev.foxtailshed.harness;

import dev.foxtailshed.standins.ProxyStandIn;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;

/**
 * Fault-injecting proxies between entries and sidecars, one for each backend server. Not
 * thread-safe.
 */
final class SidecarProxies implements AutoCloseable {

    private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);

    private final Map<String, ProxyStandIn> proxies = new HashMap<>();
    private final Map<String, InetSocketAddress> targets = new HashMap<>();

    /**
     * Returns the address of the proxy in front of a sidecar. Starts a new proxy, and closes the
     * old one, if the address of the sidecar has changed.
     */
    InetSocketAddress proxyAddressFor(String server, InetSocketAddress target) {
        if (!target.equals(targets.get(server))) {
            ProxyStandIn old = proxies.put(server, start(target));
            targets.put(server, target);
            if (old != null) {
                old.close();
            }
        }
        return proxies.get(server).addresses().get(0);
    }

    InetSocketAddress controlAddress(String server) {
        return proxies.get(server).controlAddress();
    }

    @Override
    public void close() {
        proxies.values().forEach(ProxyStandIn::close);
    }

    private static ProxyStandIn start(InetSocketAddress target) {
        try {
            return ProxyStandIn.builder().pair(ANY_PORT, target).control(ANY_PORT).start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
