package dev.foxtailshed.standins.internal.http;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Probes periodically which callers have disconnected, runs their listeners and aborts the calls.
 *
 * <p>Thread-safe.
 */
final class DisconnectMonitor {

    private static final long INTERVAL_MILLIS = 20;

    private final Map<Call, Runnable> listeners = new ConcurrentHashMap<>();

    DisconnectMonitor(ScheduledExecutorService scheduler) {
        scheduler.scheduleWithFixedDelay(
                this::probeAll, INTERVAL_MILLIS, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    void add(Call call, Runnable listener) {
        listeners.put(call, listener);
    }

    void remove(Call call) {
        listeners.remove(call);
    }

    private void probeAll() {
        for (Call call : listeners.keySet()) {
            try {
                probe(call);
            } catch (RuntimeException e) {
                // An exception that leaves this method would cancel the periodic task.
                Logger.error(e, "probe of a connection failed");
            }
        }
    }

    private void probe(Call call) {
        if (!call.isCallerDisconnected()) {
            return;
        }
        Runnable listener = listeners.remove(call);
        if (listener != null) {
            listener.run();
            call.abort();
        }
    }
}
