package dev.foxtailshed.standins;

/** The default action of a stand-in when a request triggers a crash. */
final class CrashAction {

    /** Ends the process immediately with exit code 42, without running shutdown hooks. */
    static final Runnable HALT = () -> Runtime.getRuntime().halt(42);

    private CrashAction() {}
}
