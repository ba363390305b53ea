package dev.foxtailshed.kernel.direct.quota;

import dev.foxtailshed.kernel.direct.EntryOrder;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** The other entries in this entry's view, and which of them is whose home. Not thread-safe. */
final class Peers {

    private final String self;
    private final PeerFailures failures = new PeerFailures();
    private final Map<String, String> homes = new HashMap<>();
    private List<String> members;

    Peers(String self) {
        this.self = self;
        this.members = List.of(self);
    }

    /** Sets the live entries; this entry is one of them in any case. */
    void configure(List<String> addresses) {
        Set<String> all = new TreeSet<>(addresses);
        all.add(self);
        members = List.copyOf(all);
        failures.retain(members);
        homes.clear();
    }

    boolean isAlone() {
        return members.size() == 1;
    }

    List<String> members() {
        return members;
    }

    /** Returns the other entries, except for those that did not answer recently. */
    List<String> usable(long nowMillis) {
        return members.stream()
                .filter(peer -> !peer.equals(self) && failures.isUsable(peer, nowMillis))
                .toList();
    }

    /** Returns the first entry in the order for a workspace that is usable, or this entry. */
    String home(String workspace, long nowMillis) {
        return failures.isEmpty()
                ? homes.computeIfAbsent(workspace, name -> first(name, members))
                : first(
                        workspace,
                        members.stream()
                                .filter(
                                        peer ->
                                                peer.equals(self)
                                                        || failures.isUsable(peer, nowMillis))
                                .toList());
    }

    boolean isHome(String workspace, long nowMillis) {
        return home(workspace, nowMillis).equals(self);
    }

    void recordFailure(String peer, long nowMillis) {
        failures.recordFailure(peer, nowMillis);
    }

    void recordResponse(String peer) {
        failures.recordResponse(peer);
    }

    private String first(String workspace, List<String> entries) {
        return EntryOrder.first(Set.of(workspace), entries).orElse(self);
    }
}
