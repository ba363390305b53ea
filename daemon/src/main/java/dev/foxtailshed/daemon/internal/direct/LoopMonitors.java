package dev.foxtailshed.daemon.internal.direct;

import dev.foxtailshed.kernel.TimerService;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executor;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.component.Container;

/**
 * Monitors all loops without which an entry does not serve: its own one and those that read and
 * write its connections. Thread-safe.
 */
final class LoopMonitors {

    private final TimerService timer;
    private final List<LoopMonitor> monitors = new CopyOnWriteArrayList<>();

    LoopMonitors(TimerService timer) {
        this.timer = timer;
    }

    /** Monitors a loop from now on. */
    void add(String name, Executor loop) {
        LoopMonitor monitor = new LoopMonitor(timer, name, loop);
        monitor.start();
        monitors.add(monitor);
    }

    /** Monitors the selectors of a started HTTP client or server from now on. */
    void addSelectors(String name, Container container) {
        for (ManagedSelector selector : container.getContainedBeans(ManagedSelector.class)) {
            add(name + "-" + monitors.size(), task -> selector.submit(selected -> task.run()));
        }
    }

    /** Returns whether all loops have run a task lately. */
    boolean areRunning() {
        return monitors.stream().allMatch(LoopMonitor::isRunning);
    }

    /** Returns the number of monitored loops. */
    int size() {
        return monitors.size();
    }
}
