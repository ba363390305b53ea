package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that streams are cut at the ends of events, however their bytes arrive. */
class EventStreamSplitterTest {

    @ParameterizedTest
    @ValueSource(strings = {"\n", "\r\n"})
    void passesWholeEventsWhereverTheBytesAreParted(String lineEnd) {
        String stream = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n".replace("\n", lineEnd);
        byte[] bytes = stream.getBytes(StandardCharsets.UTF_8);
        for (int cut = 0; cut <= bytes.length; cut++) {
            EventStreamSplitter boundary = new EventStreamSplitter();
            ByteArrayOutputStream passed = new ByteArrayOutputStream();
            boundary.feed(Arrays.copyOf(bytes, cut)).ifPresent(passed::writeBytes);
            boundary.feed(Arrays.copyOfRange(bytes, cut, bytes.length))
                    .ifPresent(passed::writeBytes);
            assertThat(passed.toString(StandardCharsets.UTF_8)).as("cut %d", cut).isEqualTo(stream);
            assertThat(boundary.lastEventId()).isEqualTo(OptionalLong.of(2));
            assertThat(boundary.eventCount()).as("cut %d", cut).isEqualTo(2);
        }
    }

    @Test
    void eventThatDidNotEndIsKeptBack() {
        EventStreamSplitter boundary = new EventStreamSplitter();
        byte[] passed = boundary.feed(bytes("id: 7\ndata: a\n\nid: 8\nda")).orElseThrow();

        assertThat(new String(passed, StandardCharsets.UTF_8)).isEqualTo("id: 7\ndata: a\n\n");
        assertThat(boundary.lastEventId()).isEqualTo(OptionalLong.of(7));
        assertThat(boundary.incompleteEvent()).isEqualTo(bytes("id: 8\nda"));

        boundary.discardIncompleteEvent();
        assertThat(boundary.feed(bytes("id: 8\ndata: b\n\n"))).isPresent();
        assertThat(boundary.lastEventId()).isEqualTo(OptionalLong.of(8));
    }

    @Test
    void idThatIsNoNumberLeavesTheOneBefore() {
        EventStreamSplitter boundary = new EventStreamSplitter();
        boundary.feed(bytes("id: 7\n\nid: x\n\n"));
        assertThat(boundary.lastEventId()).isEqualTo(OptionalLong.of(7));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
