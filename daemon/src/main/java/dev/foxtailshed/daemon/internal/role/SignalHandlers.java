package dev.foxtailshed.daemon.internal.role;

import dev.foxtailshed.daemon.internal.events.EventLog;
import java.lang.reflect.Proxy;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Installs handlers of POSIX signals.
 *
 * <p>The JVM offers these only through a class that javac warns of at every use, hence the
 * reflection. Without a handler, SIGHUP ends a JVM. Thread-safe.
 */
public final class SignalHandlers {

    private static final AtomicBoolean INSTALLED = new AtomicBoolean();
    private static final AtomicBoolean PENDING = new AtomicBoolean();
    private static final AtomicReference<Runnable> HANGUP = new AtomicReference<>();

    private SignalHandlers() {}

    /** Keeps a SIGHUP that comes during the start from ending the process, and remembers it. */
    public static void deferHangup() {
        if (INSTALLED.compareAndSet(false, true)) {
            install("HUP", SignalHandlers::hangup);
        }
    }

    /**
     * Runs a task at each SIGHUP, and at once if one came during the start.
     *
     * @param task the task, run on a thread of the JVM
     */
    public static void onHangup(Runnable task) {
        HANGUP.set(task);
        deferHangup();
        if (PENDING.getAndSet(false)) {
            task.run();
        }
    }

    private static void hangup() {
        PENDING.set(true);
        Runnable task = HANGUP.get();
        if (task != null && PENDING.getAndSet(false)) {
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
            // A JVM without the class still serves; the settings file is polled as well.
            EventLog.unexpected("handler of SIG" + name, e);
        }
    }
}
