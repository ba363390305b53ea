package dev.foxtailshed.kernel.direct;

import dev.foxtailshed.kernel.direct.DirectServer.Incarnation;
import dev.foxtailshed.kernel.direct.DirectServer.Stage;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Tracks the announced stage changes of model servers.
 *
 * <p>A server that is changing its stage finishes its streams first and grants reservations all the
 * while, but refuses their runs. If each entry had to find that out by itself, each would have
 * prompts processed for runs that are then refused, the more entries the more prompts. The entry
 * that commands a change therefore announces it to the others. An announced server gets no new work
 * at once, and no run from the time at which the command is sent.
 *
 * <p>An announcement ends when the server reports the new stage, or at its end time, since the
 * command may be lost. Not thread-safe.
 */
public final class StageChangeTracker {

    private final Map<Incarnation, Announcement> announcements = new HashMap<>();

    /**
     * An announced stage change.
     *
     * @param stage the stage that the server will have
     * @param startMillis the time at which the command is sent
     * @param endMillis the time after which the change is no longer expected
     */
    public record Announcement(Stage stage, long startMillis, long endMillis) {}

    /**
     * Records an announcement, which replaces an earlier one for the same server.
     *
     * @param server the server
     * @param announcement the announced change
     */
    public void announce(Incarnation server, Announcement announcement) {
        announcements.put(server, announcement);
    }

    /**
     * Removes an announcement because the change will not take place.
     *
     * @param server the server
     */
    public void withdraw(Incarnation server) {
        announcements.remove(server);
    }

    /**
     * Returns the servers without an announced change, which may get new work.
     *
     * @param servers the servers to filter
     * @param nowMillis the current time
     * @return the remaining servers in the same order
     */
    public List<DirectServer> withoutAnnounced(List<DirectServer> servers, long nowMillis) {
        return servers.stream().filter(server -> !isExpected(server, nowMillis)).toList();
    }

    /**
     * Returns whether a server refuses runs because it is changing its stage.
     *
     * @param server the server
     * @param nowMillis the current time
     * @return true from the time at which the command was sent
     */
    public boolean isChanging(DirectServer server, long nowMillis) {
        return isExpected(server, nowMillis)
                && announcements.get(server.incarnation()).startMillis <= nowMillis;
    }

    /**
     * Discards the announcements for removed servers.
     *
     * @param usable the servers that may get requests
     */
    public void retain(List<DirectServer> usable) {
        Set<Incarnation> kept =
                usable.stream().map(DirectServer::incarnation).collect(Collectors.toSet());
        announcements.keySet().retainAll(kept);
    }

    private boolean isExpected(DirectServer server, long nowMillis) {
        Announcement announcement = announcements.get(server.incarnation());
        return announcement != null
                && nowMillis < announcement.endMillis
                && !server.stage().equals(Optional.of(announcement.stage));
    }
}
