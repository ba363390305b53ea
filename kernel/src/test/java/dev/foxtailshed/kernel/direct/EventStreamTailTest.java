package dev.foxtailshed.kernel.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests whether a stream may end after its last bytes, however they are chunked. */
class EventStreamTailTest {

    @ParameterizedTest
    @CsvSource({
        // the stream, whether its end is marked, complete
        "'', true, true",
        "'', false, false",
        "'data: a/n/n', false, true",
        "'data: a/r/n/r/n', false, true",
        "'data: a/r/r', false, true",
        "'data: a/n/ndata: b', false, false",
        "'data: a/n/ndata: b', true, false",
        "'data: a/n/ndata: b/n', true, false",
        "'data: a/r/n/r', true, false",
        "'data: a', true, false"
    })
    void tellsWhetherTheStreamIsComplete(String text, boolean endMarked, boolean complete) {
        byte[] bytes =
                text.replace("/n", "\n").replace("/r", "\r").getBytes(StandardCharsets.US_ASCII);
        EventStreamTail whole = new EventStreamTail();
        whole.append(bytes);
        EventStreamTail piecewise = new EventStreamTail();
        for (byte each : bytes) {
            piecewise.append(new byte[] {each});
        }

        assertThat(whole.isComplete(endMarked)).isEqualTo(complete);
        assertThat(piecewise.isComplete(endMarked)).isEqualTo(complete);
    }
}
