package dev.foxtailshed.wire.internal;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.sun.management.ThreadMXBean;
import dev.foxtailshed.wire.Message;
import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests the encoding and decoding of complete, truncated and corrupt frames. */
class FrameCodecTest {

    private static final int LIMIT_BYTES = 8 * 1024 * 1024;
    private static final int ALLOCATION_SLACK_BYTES = 16 * 1024;
    private static final int ALLOCATION_FACTOR = 24;

    private final FrameCodec codec = new FrameCodec(LIMIT_BYTES);
    private final FrameReader reader = new FrameReader();

    static Stream<Class<?>> messageTypes() {
        return Arrays.stream(Message.class.getPermittedSubclasses());
    }

    @ParameterizedTest
    @MethodSource("messageTypes")
    void roundTripsEveryMessageType(Class<?> type) throws Exception {
        RandomRecords randomRecords = RandomRecords.withLongTexts(new Random(11));
        for (int round = 0; round < 200; round++) {
            Message message = (Message) randomRecords.create(type);
            byte[] frame = encode(message);

            Message decoded = decode(frame);
            assertThat(encode(decoded)).isEqualTo(frame);
            if (round < 20) {
                assertThat(decoded).usingRecursiveComparison().isEqualTo(message);
            }
        }
    }

    @ParameterizedTest
    @MethodSource("messageTypes")
    void refusesTruncatedAndExtendedFrames(Class<?> type) {
        byte[] frame = encode((Message) RandomRecords.withShortTexts(new Random(12)).create(type));

        for (int size = FrameCodec.LENGTH_BYTES; size < frame.length; size++) {
            byte[] truncated = Arrays.copyOf(frame, size);
            assertThatThrownBy(() -> decode(truncated)).isInstanceOf(MalformedFrameException.class);
        }
        assertThatThrownBy(() -> decode(Arrays.copyOf(frame, frame.length + 1)))
                .isInstanceOfSatisfying(
                        MalformedFrameException.class,
                        e -> {
                            assertThat(e.frameType()).isEqualTo(type.getSimpleName());
                            assertThat(e.field()).isEqualTo("end");
                            assertThat(e.expected()).contains("no bytes");
                        });
    }

    @ParameterizedTest
    @MethodSource("messageTypes")
    void corruptFramesThrowMalformedFrameAndBoundAllocation(Class<?> type) {
        // The first execution of code allocates memory in the JVM, regardless of the frame. The
        // first pass therefore decodes the same frames without checking allocation.
        decodeCorruptFrames(type, Long.MAX_VALUE);
        int refused = decodeCorruptFrames(type, ALLOCATION_SLACK_BYTES);
        assertThat(refused).isPositive();
    }

    private int decodeCorruptFrames(Class<?> type, long slackBytes) {
        Random random = new Random(13);
        RandomRecords randomRecords = RandomRecords.withShortTexts(random);
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        int refused = 0;
        for (int round = 0; round < 3_000; round++) {
            byte[] frame = corrupt(encode((Message) randomRecords.create(type)), random);
            long before = threads.getCurrentThreadAllocatedBytes();
            try {
                decode(frame);
            } catch (MalformedFrameException e) {
                refused++;
            }
            long allocatedBytes = threads.getCurrentThreadAllocatedBytes() - before;

            assertThat(allocatedBytes - (long) ALLOCATION_FACTOR * frame.length)
                    .isLessThan(slackBytes);
        }
        return refused;
    }

    @Test
    void refusesInvalidLengthsTypesAndText() {
        byte[] hugeBinary = {0, 0, 0, 7, (byte) 0x92, 1, (byte) 0xc6, 0x7f, 0, 0, 0};
        byte[] negativeBinary = {0, 0, 0, 7, (byte) 0x92, 1, (byte) 0xc6, (byte) 0xff, 0, 0, 0};
        byte[] hugeArray = {0, 0, 0, 5, (byte) 0xdd, 0x7f, 0, 0, 0};
        byte[] unknownType = {0, 0, 0, 2, (byte) 0x91, 99};
        byte[] brokenText = {
            0, 0, 0, 7, (byte) 0x94, 3, (byte) 0xa1, (byte) 0xc3, 1, (byte) 0xc4, 0
        };

        assertMalformed(hugeBinary, "nonce");
        assertMalformed(negativeBinary, "nonce");
        assertMalformed(hugeArray, "fields");
        assertMalformed(unknownType, "type");
        assertMalformed(brokenText, "serverName");
    }

    @Test
    void refusesToEncodeOverLimitAndStaysUsable() throws Exception {
        FrameCodec smallCodec = new FrameCodec(100);
        FrameWriter writer = new FrameWriter();
        Message large = new Message.AnswerPart(RandomRecords.attemptId(1), 0, 0, new byte[100]);
        assertThatThrownBy(() -> smallCodec.encode(large, writer))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> smallCodec.encode(new Message.Challenge(null), writer))
                .isInstanceOf(NullPointerException.class);

        smallCodec.encode(new Message.Heartbeat(3), writer);

        assertThat(decode(Arrays.copyOf(writer.array(), writer.sizeBytes())))
                .isEqualTo(new Message.Heartbeat(3));
    }

    private void assertMalformed(byte[] frame, String field) {
        assertThatThrownBy(() -> decode(frame))
                .isInstanceOfSatisfying(
                        MalformedFrameException.class, e -> assertThat(e.field()).isEqualTo(field));
    }

    private static byte[] corrupt(byte[] frame, Random random) {
        for (int changes = 1 + random.nextInt(4); changes > 0; changes--) {
            int index =
                    FrameCodec.LENGTH_BYTES
                            + random.nextInt(frame.length - FrameCodec.LENGTH_BYTES);
            frame[index] = (byte) random.nextInt();
        }
        return frame;
    }

    private byte[] encode(Message message) {
        FrameWriter writer = new FrameWriter();
        codec.encode(message, writer);
        return Arrays.copyOf(writer.array(), writer.sizeBytes());
    }

    private Message decode(byte[] frame) throws MalformedFrameException {
        int lengthBytes = frame.length - FrameCodec.LENGTH_BYTES;
        return codec.decode(reader, frame, FrameCodec.LENGTH_BYTES, lengthBytes);
    }
}
