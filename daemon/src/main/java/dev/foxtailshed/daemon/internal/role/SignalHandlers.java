package dev.foxtailshed.daemon.internal.role;

import dev.foxtailshed.daemon.internal.events.EventLog;
import java.lang.reflect.Proxy;

/**
 * Installs handlers of POSIX signals.
 *
 * <p>The JVM offers these only through a class that javac warns of at every use, hence the
 * reflection. Without a handler, SIGHUP ends a JVM.
 */
public final class SignalHandlers {

    private SignalHandlers() {}

    /**
     * Runs a task at each SIGHUP.
     *
     * @param task the task, run on a thread of the JVM
     */
    public static void onHangup(Runnable task) {
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
            Object hangup = signal.getConstructor(String.class).newInstance("HUP");
            signal.getMethod("handle", signal, handler).invoke(null, hangup, proxy);
        } catch (ReflectiveOperationException e) {
            // A JVM without the class still serves; the settings file is polled as well.
            EventLog.unexpected("SIGHUP handler", e);
        }
    }
}
