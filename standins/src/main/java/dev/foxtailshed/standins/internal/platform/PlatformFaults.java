package dev.foxtailshed.standins.internal.platform;

/**
 * The faults of the platform.
 *
 * @param outage whether all calls are answered with 503
 * @param delayMillis the delay before each call is handled
 * @param loseAnswers the number of next writes that take effect but get no response
 * @param instanceLagMillis the age of the instance list
 * @param staleReads whether reads other than watches return the version before the newest
 */
record PlatformFaults(
        boolean outage,
        long delayMillis,
        long loseAnswers,
        long instanceLagMillis,
        boolean staleReads) {

    static final PlatformFaults NONE = new PlatformFaults(false, 0, 0, 0, false);
}
