package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests that entries agree on their order for a task. */
class EntryOrderTest {

    @Test
    void entriesAgreeOnTheirOrder() {
        List<String> entries = List.of("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1");
        for (String part : List.of("a", "b", "c", "d")) {
            assertThat(entries.stream().map(e -> EntryOrder.rank(Set.of(part), e, entries)))
                    .containsExactlyInAnyOrder(0, 1, 2);
        }
    }

    @Test
    void firstEntryIsTheOneThatNoOtherComesBefore() {
        List<String> entries = List.of("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1");
        for (String part : List.of("a", "b", "c", "d")) {
            String first = EntryOrder.first(Set.of(part), entries).orElseThrow();
            assertThat(EntryOrder.rank(Set.of(part), first, entries)).isZero();
        }
        assertThat(EntryOrder.first(Set.of("a"), List.of())).isEmpty();
    }
}
