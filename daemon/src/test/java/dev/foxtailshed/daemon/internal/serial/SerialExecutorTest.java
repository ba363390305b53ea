package dev.foxtailshed.daemon.internal.serial;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that no failure of a task stops the tasks after it. */
class SerialExecutorTest {

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
