package dev.foxtailshed.daemon.internal.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import dev.foxtailshed.daemon.internal.http.BackendHttpClients;
import dev.foxtailshed.kernel.SteppedTimerService;
import dev.foxtailshed.kernel.TimerService;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.io.ManagedSelector;
import org.junit.jupiter.api.Test;

/** Tests that a loop or a timer that runs nothing any more is detected. */
class LoopMonitorTest {

    private final SteppedTimerService timer = new SteppedTimerService();
    private final Queue<Runnable> loop = new ArrayDeque<>();
    private final LoopMonitor monitor = new LoopMonitor(timer, "entry", loop::add);

    @Test
    void loopThatRunsItsTasksIsRunning() {
        monitor.start();
        for (int i = 0; i < 20; i++) {
            timer.advance(1_000);
            runLoop();
            assertThat(monitor.isRunning()).isTrue();
        }
    }

    /** Guards against an entry that says it is ready while its loop is stuck. */
    @Test
    void loopThatRunsNoTaskIsStalledUntilItRunsAgain() {
        monitor.start();
        timer.advance(1_000);
        assertThat(monitor.isRunning()).isTrue();
        timer.advance(LoopMonitor.STALL_MILLIS);
        assertThat(monitor.isRunning()).isFalse();
        assertThat(loop).as("tasks of the monitor do not pile up").hasSize(1);

        runLoop();
        assertThat(monitor.isRunning()).isTrue();
    }

    /** Guards against a timer that has ended, without which no deadline takes effect. */
    @Test
    void loopWithoutTimerIsStalled() {
        LoopMonitor withoutTimer = new LoopMonitor(new EndedTimer(), "entry", Runnable::run);
        withoutTimer.start();

        timer.advance(LoopMonitor.STALL_MILLIS + 1);

        assertThat(withoutTimer.isRunning()).isFalse();
    }

    /**
     * Guards against an entry that says it is ready while a thread that reads its connections has
     * ended or is stuck.
     */
    @Test
    void selectorThatRunsNothingIsStalledUntilItRunsAgain() throws Exception {
        HttpClient client = BackendHttpClients.newClient();
        client.start();
        CountDownLatch stuck = new CountDownLatch(1);
        try {
            LoopMonitors monitors = new LoopMonitors(timer);
            monitors.addSelectors("client", client);
            assertThat(monitors.size()).isPositive();
            timer.advance(1_000);
            awaitTasksOfSelectors(client);
            timer.advance(LoopMonitor.STALL_MILLIS - 500);
            assertThat(monitors.areRunning()).isTrue();

            awaitTasksOfSelectors(client);
            ManagedSelector selector =
                    client.getContainedBeans(ManagedSelector.class).iterator().next();
            selector.submit(selected -> awaitLatch(stuck));
            timer.advance(LoopMonitor.STALL_MILLIS + 1_000);
            assertThat(monitors.areRunning()).isFalse();

            stuck.countDown();
            await().atMost(5, TimeUnit.SECONDS).until(monitors::areRunning);
        } finally {
            stuck.countDown();
            client.stop();
        }
    }

    /** Waits until each selector has run the tasks that it had got before. */
    private static void awaitTasksOfSelectors(HttpClient client) throws InterruptedException {
        for (ManagedSelector selector : client.getContainedBeans(ManagedSelector.class)) {
            CountDownLatch ran = new CountDownLatch(1);
            selector.submit(selected -> ran.countDown());
            assertThat(ran.await(5, TimeUnit.SECONDS)).isTrue();
        }
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void runLoop() {
        while (!loop.isEmpty()) {
            loop.remove().run();
        }
    }

    /** A timer whose clock goes on but which runs no task. */
    private final class EndedTimer implements TimerService {
        @Override
        public long nowMillis() {
            return timer.nowMillis();
        }

        @Override
        public Subscription once(long delayMillis, Runnable task) {
            return () -> {};
        }

        @Override
        public Subscription every(long periodMillis, Runnable task) {
            return () -> {};
        }
    }
}
