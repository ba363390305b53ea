package dev.foxtailshed.standins.internal.proxy;

import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * A listen address of the proxy, its target, its faults and its open connections.
 *
 * <p>Not thread-safe; confined to the thread of the {@link ProxyLoop}.
 */
final class ProxyPair {

    private final InetSocketAddress listen;
    private final InetSocketAddress target;
    private final Set<ProxiedConnection> connections = new LinkedHashSet<>();
    private ProxyFaults faults = ProxyFaults.NONE;

    ProxyPair(InetSocketAddress listen, InetSocketAddress target) {
        this.listen = listen;
        this.target = target;
    }

    InetSocketAddress listen() {
        return listen;
    }

    InetSocketAddress target() {
        return target;
    }

    ProxyFaults faults() {
        return faults;
    }

    void setFaults(ProxyFaults newFaults) {
        faults = newFaults;
        if (newFaults.mode() == ProxyFaults.Mode.CUT) {
            resetAll();
        }
        List.copyOf(connections).forEach(ProxiedConnection::pump);
    }

    void resetAll() {
        List.copyOf(connections).forEach(ProxiedConnection::reset);
    }

    void add(ProxiedConnection connection) {
        connections.add(connection);
    }

    void remove(ProxiedConnection connection) {
        connections.remove(connection);
    }
}
