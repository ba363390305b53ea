package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which holder gives up its bytes when the sum over all requests reaches the limit. */
class BufferBudgetTest {

    private static final long LIMIT_BYTES = 100;

    private final BufferBudget budget = new BufferBudget(LIMIT_BYTES);
    private final List<String> givenUp = new ArrayList<>();

    /** Guards against many requests, each within its own limit, that fill the heap together. */
    @ParameterizedTest
    @CsvSource({
        // sizes of three holders, who gives up, bytes held afterwards
        "30, 30, 40, '', 100",
        "30, 30, 41, third, 60",
        "60, 30, 20, first, 50",
        "10, 95, 10, second, 20",
        "101, 0, 0, first, 0"
    })
    void largestHolderGivesUp(long first, long second, long third, String expected, long used) {
        open("first").resize(first);
        open("second").resize(second);
        open("third").resize(third);

        assertThat(String.join(",", givenUp)).isEqualTo(expected);
        assertThat(budget.usedBytes()).isEqualTo(used);
    }

    @Test
    void accountThatGaveUpHoldsNothingAnyMore() {
        BufferBudget.Account account = open("first");
        account.resize(101);
        account.resize(50);
        account.close();

        assertThat(budget.usedBytes()).isZero();
        assertThat(givenUp).containsExactly("first");
    }

    @Test
    void refusedSizeLeavesEarlierOneAndGivesUpNobody() {
        BufferBudget.Account account = open("first");
        assertThat(account.tryGrowTo(60)).isTrue();
        assertThat(open("second").tryGrowTo(41)).isFalse();
        assertThat(account.tryGrowTo(101)).isFalse();

        assertThat(budget.usedBytes()).isEqualTo(60);
        assertThat(account.tryGrowTo(100)).isTrue();
        assertThat(account.tryGrowTo(10)).isTrue();
        assertThat(budget.usedBytes()).isEqualTo(100);
        assertThat(givenUp).isEmpty();
    }

    @Test
    void budgetWithoutRoomIsRejected() {
        assertThatThrownBy(() -> new BufferBudget(0)).hasMessageContaining("positive: 0");
    }

    /** Compares the sum with a model over random sizes and closes. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void sumMatchesOpenAccounts(long seed) {
        Random random = new Random(seed);
        Map<String, Long> expected = new HashMap<>();
        Map<String, BufferBudget.Account> accounts = new HashMap<>();
        for (int i = 0; i < 2_000; i++) {
            String name = "a" + random.nextInt(20);
            BufferBudget.Account account = accounts.computeIfAbsent(name, this::open);
            if (random.nextInt(10) == 0) {
                account.close();
                accounts.remove(name);
                expected.remove(name);
            } else {
                long bytes = random.nextInt(40);
                expected.put(name, bytes);
                account.resize(bytes);
            }
            givenUp.forEach(accounts::remove);
            givenUp.forEach(expected::remove);
            givenUp.clear();
            assertThat(budget.usedBytes())
                    .isEqualTo(expected.values().stream().mapToLong(Long::longValue).sum())
                    .isLessThanOrEqualTo(LIMIT_BYTES);
        }
    }

    private BufferBudget.Account open(String name) {
        return budget.open(() -> givenUp.add(name));
    }
}
