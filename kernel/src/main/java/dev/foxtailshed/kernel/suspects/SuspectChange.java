package dev.foxtailshed.kernel.suspects;

import java.util.Objects;

/** An idempotent change of the suspects. */
public sealed interface SuspectChange {

    /**
     * A backend server crashed while it ran a request.
     *
     * @param digest the digest of the request
     * @param crash the id of this crash of this request
     * @param epochMillis the time of the crash
     */
    record Crashed(String digest, String crash, long epochMillis) implements SuspectChange {
        /** Checks that no component is null. */
        public Crashed {
            Objects.requireNonNull(digest, "digest");
            Objects.requireNonNull(crash, "crash");
        }
    }

    /**
     * A request completed, so that it is no longer a suspect.
     *
     * @param digest the digest of the request
     */
    record Cleared(String digest) implements SuspectChange {
        /** Checks that no component is null. */
        public Cleared {
            Objects.requireNonNull(digest, "digest");
        }
    }
}
