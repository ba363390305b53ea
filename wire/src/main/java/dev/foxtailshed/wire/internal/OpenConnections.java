package dev.foxtailshed.wire.internal;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The open connections and connects in progress of one server or client, which are closed with it.
 *
 * <p>Thread-safe.
 */
final class OpenConnections {

    private final Set<Member> members = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    /** A connection or a connect in progress. */
    interface Member {
        /** Closes this member and reports the reason to its listener; has no effect if closed. */
        void closeWith(String reason);
    }

    /** Adds a member, and closes it if {@link #closeAll} has been called already. */
    void add(Member member) {
        members.add(member);
        if (closed) {
            member.closeWith("closed by this side");
        }
    }

    void remove(Member member) {
        members.remove(member);
    }

    void closeAll() {
        closed = true;
        members.forEach(member -> member.closeWith("closed by this side"));
    }
}
