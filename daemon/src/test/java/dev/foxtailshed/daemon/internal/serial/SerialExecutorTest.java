package dev.foxtailshed.daemon.internal.serial;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that tasks run in order, whatever the tasks before them do. */
class SerialExecutorTest {

    private static final int MANY_TASKS = 1_000_000;

    private final SerialExecutor executor = new SerialExecutor(Runnable::run);

    static Stream<Arguments> waysAndFailures() {
        List<BiConsumer<SerialExecutor, Runnable>> ways =
                List.of(SerialExecutor::execute, SerialExecutor::executeOrEnqueue);
        List<Throwable> failures =
                List.of(
                        new IllegalStateException("failed"),
                        new OutOfMemoryError("failed"),
                        new StackOverflowError("failed"),
                        new NoClassDefFoundError("failed"));
        return ways.stream()
                .flatMap(way -> failures.stream().map(failure -> Arguments.of(way, failure)));
    }

    /** Guards against an entry that is ready but runs no task any more after an Error. */
    @ParameterizedTest
    @MethodSource("waysAndFailures")
    void tasksAfterFailedTaskRun(BiConsumer<SerialExecutor, Runnable> way, Throwable failure) {
        List<String> ran = new ArrayList<>();

        ignoringFailures(
                () ->
                        way.accept(
                                executor,
                                () -> {
                                    executor.execute(() -> ran.add("queued"));
                                    SerialExecutorTest.throwUnchecked(failure);
                                }));
        way.accept(executor, () -> ran.add("later"));

        assertThat(ran).containsExactly("queued", "later");
    }

    /**
     * Guards against a thread that reads connections, or fires timers, and is kept by tasks that
     * come without end, such as the bytes of a server that never stops.
     */
    @Test
    @Timeout(10)
    void callingThreadIsNotKeptByTasksThatComeWithoutEnd() throws InterruptedException {
        ExecutorService pool = Executors.newSingleThreadExecutor();
        SerialExecutor serial = new SerialExecutor(pool);
        Thread caller = Thread.currentThread();
        AtomicInteger ofCaller = new AtomicInteger();
        AtomicInteger all = new AtomicInteger();
        AtomicBoolean stopped = new AtomicBoolean();
        Runnable endless =
                new Runnable() {
                    @Override
                    public void run() {
                        all.incrementAndGet();
                        ofCaller.addAndGet(Thread.currentThread() == caller ? 1 : 0);
                        if (!stopped.get() && all.get() < MANY_TASKS) {
                            serial.executeOrEnqueue(this);
                        }
                    }
                };

        serial.executeOrEnqueue(endless);

        assertThat(ofCaller.get()).isEqualTo(SerialExecutor.MAXIMUM_TASKS_OF_CALLER);
        while (all.get() < 10 * SerialExecutor.MAXIMUM_TASKS_OF_CALLER) {
            Thread.onSpinWait();
        }
        stopped.set(true);
        pool.shutdown();
        assertThat(pool.awaitTermination(5, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void tasksRunInOrderAlsoAfterThePoolHasTakenOver() throws InterruptedException {
        ExecutorService pool = Executors.newSingleThreadExecutor();
        SerialExecutor serial = new SerialExecutor(pool);
        List<Integer> order = Collections.synchronizedList(new ArrayList<>());
        int count = 5 * SerialExecutor.MAXIMUM_TASKS_OF_CALLER;
        serial.executeOrEnqueue(
                () -> {
                    for (int i = 0; i < count; i++) {
                        int number = i;
                        serial.executeOrEnqueue(() -> order.add(number));
                    }
                });
        pool.shutdown();
        assertThat(pool.awaitTermination(5, TimeUnit.SECONDS)).isTrue();

        assertThat(order).containsExactlyElementsOf(IntStream.range(0, count).boxed().toList());
    }

    @Test
    void tasksRunAlsoIfThePoolHasStopped() {
        SerialExecutor serial =
                new SerialExecutor(
                        task -> {
                            throw new RejectedExecutionException("stopped");
                        });
        AtomicInteger ran = new AtomicInteger();
        int count = 3 * SerialExecutor.MAXIMUM_TASKS_OF_CALLER;
        serial.executeOrEnqueue(
                () -> {
                    for (int i = 0; i < count; i++) {
                        serial.executeOrEnqueue(ran::incrementAndGet);
                    }
                });

        assertThat(ran.get()).isEqualTo(count);
    }

    private static void ignoringFailures(Runnable task) {
        try {
            task.run();
        } catch (IllegalStateException | Error e) {
            // The executor may report the failure to its caller, but must go on.
            assertThat(e).hasMessage("failed");
        }
    }

    @SuppressWarnings("unchecked")
    private static <T extends Throwable> void throwUnchecked(Throwable failure) throws T {
        throw (T) failure;
    }
}
