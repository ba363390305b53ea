package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that streams are split at event boundaries, however their bytes are chunked. */
class EventStreamSplitterTest {

    @ParameterizedTest
    @ValueSource(strings = {"\n", "\r\n", "\r"})
    void passesCompleteEventsHoweverTheBytesAreChunked(String lineEnd) {
        String stream = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n".replace("\n", lineEnd);
        byte[] bytes = stream.getBytes(StandardCharsets.UTF_8);
        for (int cut = 0; cut <= bytes.length; cut++) {
            EventStreamSplitter splitter = newSplitter();
            ByteArrayOutputStream passed = new ByteArrayOutputStream();
            splitter.feed(Arrays.copyOf(bytes, cut)).ifPresent(passed::writeBytes);
            splitter.feed(Arrays.copyOfRange(bytes, cut, bytes.length))
                    .ifPresent(passed::writeBytes);
            assertThat(passed.toString(StandardCharsets.UTF_8)).as("cut %d", cut).isEqualTo(stream);
            assertThat(splitter.lastEventId()).isEqualTo(OptionalLong.of(2));
            assertThat(splitter.eventCount()).as("cut %d", cut).isEqualTo(2);
        }
    }

    /** Empty lines after an event are not the beginning of another one. */
    @ParameterizedTest
    @ValueSource(strings = {"\n", "\r\n", "\r"})
    void furtherEmptyLinesAreNotAnIncompleteEvent(String lineEnd) {
        EventStreamSplitter splitter = newSplitter();
        assertThat(splitter.feed(bytes("id: 7\n\n".replace("\n", lineEnd)))).isPresent();

        assertThat(splitter.feed(bytes(lineEnd))).hasValue(bytes(lineEnd));
        assertThat(splitter.incompleteEvent()).isEmpty();
        assertThat(splitter.eventCount()).isEqualTo(1);
    }

    @Test
    void incompleteEventIsHeldBack() {
        EventStreamSplitter splitter = newSplitter();
        byte[] passed = splitter.feed(bytes("id: 7\ndata: a\n\nid: 8\nda")).orElseThrow();

        assertThat(new String(passed, StandardCharsets.UTF_8)).isEqualTo("id: 7\ndata: a\n\n");
        assertThat(splitter.lastEventId()).isEqualTo(OptionalLong.of(7));
        assertThat(splitter.incompleteEvent()).isEqualTo(bytes("id: 8\nda"));

        splitter.startRun();
        assertThat(splitter.incompleteEvent()).isEmpty();
        assertThat(splitter.firstEventId()).isEmpty();
        assertThat(splitter.feed(bytes("id: 8\ndata: b\n\n"))).isPresent();
        assertThat(splitter.firstEventId()).isEqualTo(OptionalLong.of(8));
        assertThat(splitter.lastEventId()).isEqualTo(OptionalLong.of(8));
    }

    @Test
    void nonNumericIdKeepsThePreviousId() {
        EventStreamSplitter splitter = newSplitter();
        splitter.feed(bytes("id: 7\n\nid: x\n\n"));
        assertThat(splitter.lastEventId()).isEqualTo(OptionalLong.of(7));
    }

    /** An event that repeats or goes back must not reach the caller, nor any event after it. */
    @ParameterizedTest
    @ValueSource(strings = {"id: 8\n\n", "id: 3\n\n", "id: 3\n\nid: 9\n\n"})
    void nothingFollowsAnEventOutOfOrder(String misplaced) {
        EventStreamSplitter splitter = newSplitter();
        assertThat(splitter.feed(bytes("id: 7\n\nid: 8\n\n" + misplaced)))
                .hasValue(bytes("id: 7\n\nid: 8\n\n"));
        assertThat(splitter.misplacedEventId()).isPresent();
        assertThat(splitter.feed(bytes("id: 9\n\n"))).isEmpty();
        assertThat(splitter.lastEventId()).isEqualTo(OptionalLong.of(8));

        splitter.startRun();
        assertThat(splitter.misplacedEventId()).isEmpty();
        assertThat(splitter.feed(bytes("id: 9\n\n"))).hasValue(bytes("id: 9\n\n"));
    }

    @ParameterizedTest
    @CsvSource({
        // what the first run brings, what the second brings, whether its end is marked, complete
        "'', '', true, true",
        "'', '', false, false",
        "'', 'id: 1\\n\\n', false, true",
        "'id: 1\\n\\n', '', true, true",
        "'id: 1\\n\\n', '', false, false",
        "'id: 1\\n\\nid: 2', '', true, false",
        "'id: 1\\n\\n', 'id: 2\\n', true, false",
        "'id: 1\\n\\n', 'id: 2\\r\\n\\r', false, false",
        "'id: 1\\n\\n', 'id: 2\\r\\n\\r\\n', false, true",
        "'id: 1\\n\\n', 'id: 2\\r\\r', false, true"
    })
    void tellsWhetherTheStreamMayEndHere(
            String firstRun, String secondRun, boolean endMarked, boolean complete) {
        EventStreamSplitter splitter = newSplitter();
        splitter.startRun();
        splitter.feed(unescape(firstRun));
        splitter.startRun();
        splitter.feed(unescape(secondRun));

        assertThat(splitter.findMissingPart(endMarked).isEmpty()).isEqualTo(complete);
    }

    private static byte[] unescape(String text) {
        return bytes(text.replace("\\n", "\n").replace("\\r", "\r"));
    }

    private static EventStreamSplitter newSplitter() {
        return new EventStreamSplitter(new EventSequence(OptionalLong.empty()));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
