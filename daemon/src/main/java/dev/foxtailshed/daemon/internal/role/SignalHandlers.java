package dev.foxtailshed.daemon.internal.role;

import dev.foxtailshed.daemon.internal.events.EventLog;
import java.lang.reflect.Proxy;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Installs handlers of POSIX signals.
 *
 * <p>The handlers are installed by reflection, since javac warns at each use of the JVM's class for
 * signals. Without a handler, SIGHUP ends the JVM. Thread-safe.
 */
public final class SignalHandlers {

    private static final AtomicBoolean INSTALLED = new AtomicBoolean();
    private static final AtomicBoolean HANGUP_PENDING = new AtomicBoolean();
    private static final AtomicReference<Runnable> HANGUP_TASK = new AtomicReference<>();

    private SignalHandlers() {}

    /**
     * Defers SIGHUP during start-up.
     *
     * <p>A signal received from now on does not end the process; it is pending until {@link
     * #onHangup} is called.
     */
    public static void deferHangup() {
        if (INSTALLED.compareAndSet(false, true)) {
            install("HUP", SignalHandlers::handleHangup);
        }
    }

    /**
     * Sets the task to run at each SIGHUP, and runs it immediately if a signal is pending.
     *
     * @param task the task, run on a thread of the JVM for signals, or on the calling thread if a
     *     signal is pending
     */
    public static void onHangup(Runnable task) {
        HANGUP_TASK.set(task);
        deferHangup();
        if (HANGUP_PENDING.getAndSet(false)) {
            task.run();
        }
    }

    private static void handleHangup() {
        HANGUP_PENDING.set(true);
        Runnable task = HANGUP_TASK.get();
        if (task != null && HANGUP_PENDING.getAndSet(false)) {
            task.run();
        }
    }

    private static void install(String name, Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy =
                    Proxy.newProxyInstance(
                            handler.getClassLoader(),
                            new Class<?>[] {handler},
                            (self, method, arguments) -> {
                                if (method.getName().equals("handle")) {
                                    task.run();
                                }
                                return null;
                            });
            Object value = signal.getConstructor(String.class).newInstance(name);
            signal.getMethod("handle", signal, handler).invoke(null, value, proxy);
        } catch (ReflectiveOperationException e) {
            // Not fatal on a JVM without the class: changes of the settings file are also polled.
            EventLog.logUnexpected("handler of SIG" + name, e);
        }
    }
}
