package dev.foxtailshed.kernel.manifest;

/** Ensures that an instance never replaces its manifest by an older one. */
public final class VersionGuard {

    private VersionGuard() {}

    /**
     * Returns whether an offered version is newer than the current one.
     *
     * @param currentVersion the applied version, zero for none
     * @param offeredVersion the offered version
     * @return whether the offered one replaces the current one
     */
    public static boolean shouldApply(long currentVersion, long offeredVersion) {
        return offeredVersion > currentVersion;
    }
}
