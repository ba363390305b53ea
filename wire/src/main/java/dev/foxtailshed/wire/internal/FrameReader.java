package dev.foxtailshed.wire.internal;

import dev.foxtailshed.kernel.AttemptId;
import dev.foxtailshed.wire.Message.Header;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.core.buffer.ArrayBufferInput;

/**
 * A reader of the fields of a frame, reusable for one frame after another.
 *
 * <p>Each declared length is checked against the remaining bytes of the frame before anything is
 * allocated, so a frame cannot make the reader allocate more than a small multiple of its own size.
 * Not thread-safe.
 */
public final class FrameReader {

    private static final byte[] EMPTY = new byte[0];
    private static final char REPLACEMENT_CHARACTER = '\uFFFD';
    private static final int MINIMUM_HEADER_BYTES = 3;
    private static final MessagePack.UnpackerConfig STRICT_TYPES =
            new MessagePack.UnpackerConfig()
                    .withAllowReadingBinaryAsString(false)
                    .withAllowReadingStringAsBinary(false);

    private final ArrayBufferInput input = new ArrayBufferInput(EMPTY);
    private final MessageUnpacker unpacker = STRICT_TYPES.newUnpacker(input);
    private String frameType = FrameCodec.UNKNOWN_FRAME_TYPE;
    private byte[] bytes = EMPTY;
    private int offset;
    private int lengthBytes;

    /** Creates a reader that holds no frame yet. */
    public FrameReader() {}

    void begin(byte[] source, int start, int length) throws MalformedFrameException {
        bytes = source;
        offset = start;
        lengthBytes = length;
        frameType = FrameCodec.UNKNOWN_FRAME_TYPE;
        input.reset(source, start, length);
        try {
            unpacker.reset(input);
        } catch (IOException e) {
            throw malformed("start", "readable bytes");
        }
    }

    void setFrameType(String name) {
        frameType = name;
    }

    void finish() throws MalformedFrameException {
        if (remainingBytes() != 0) {
            throw malformed("end", "no bytes after the last field");
        }
    }

    MalformedFrameException malformed(String field, String expected) {
        return new MalformedFrameException(frameType, field, expected);
    }

    boolean readNilIfPresent(String field) throws MalformedFrameException {
        try {
            return unpacker.tryUnpackNil();
        } catch (MessagePackException | IOException e) {
            throw malformed(field, "a value or nil");
        }
    }

    boolean readBoolean(String field) throws MalformedFrameException {
        try {
            return unpacker.unpackBoolean();
        } catch (MessagePackException | IOException e) {
            throw malformed(field, "a boolean");
        }
    }

    int readInt(String field) throws MalformedFrameException {
        try {
            return unpacker.unpackInt();
        } catch (MessagePackException | IOException e) {
            throw malformed(field, "a 32-bit integer");
        }
    }

    long readLong(String field) throws MalformedFrameException {
        try {
            return unpacker.unpackLong();
        } catch (MessagePackException | IOException e) {
            throw malformed(field, "a 64-bit integer");
        }
    }

    String readString(String field) throws MalformedFrameException {
        try {
            int length = requireWithinFrame(unpacker.unpackRawStringHeader(), 1, field);
            if (length == 0) {
                return "";
            }
            int start = offset + (int) unpacker.getTotalReadBytes();
            unpacker.readPayloadAsReference(length);
            String value = new String(bytes, start, length, StandardCharsets.UTF_8);
            if (value.indexOf(REPLACEMENT_CHARACTER) >= 0) {
                // The String constructor silently replaces invalid UTF-8, so only a strict decoder
                // can distinguish it from a valid replacement character.
                StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes, start, length));
            }
            return value;
        } catch (CharacterCodingException e) {
            throw malformed(field, "valid UTF-8");
        } catch (MessagePackException | IOException e) {
            throw malformed(field, "a string");
        }
    }

    byte[] readBinary(String field) throws MalformedFrameException {
        try {
            int length = requireWithinFrame(unpacker.unpackBinaryHeader(), 1, field);
            return length == 0 ? EMPTY : unpacker.readPayload(length);
        } catch (MessagePackException | IOException e) {
            throw malformed(field, "binary");
        }
    }

    int readArrayHeader(String field, int minimumElementBytes) throws MalformedFrameException {
        try {
            return requireWithinFrame(unpacker.unpackArrayHeader(), minimumElementBytes, field);
        } catch (MessagePackException | IOException e) {
            throw malformed(field, "an array");
        }
    }

    void requireArray(String field, int size) throws MalformedFrameException {
        if (readArrayHeader(field, 1) != size) {
            throw malformed(field, "an array of " + size);
        }
    }

    <E extends Enum<E>> E readEnum(String field, List<E> constants) throws MalformedFrameException {
        int ordinal = readInt(field);
        if (ordinal < 0 || ordinal >= constants.size()) {
            throw malformed(field, "one of " + constants);
        }
        return constants.get(ordinal);
    }

    AttemptId readAttemptId() throws MalformedFrameException {
        requireArray("attemptId", FrameWriter.ATTEMPT_ID_FIELDS);
        return new AttemptId(
                readLong("attemptId.entryIncarnation"),
                readLong("attemptId.sequence"),
                readInt("attemptId.attempt"));
    }

    List<Header> readHeaders(String field) throws MalformedFrameException {
        Header[] headers = new Header[readArrayHeader(field, MINIMUM_HEADER_BYTES)];
        for (int i = 0; i < headers.length; i++) {
            requireArray(field, FrameWriter.HEADER_FIELDS);
            headers[i] = new Header(readString("headers.name"), readString("headers.value"));
        }
        return Collections.unmodifiableList(Arrays.asList(headers));
    }

    private int requireWithinFrame(int count, int minimumElementBytes, String field)
            throws MalformedFrameException {
        if (count < 0 || (long) count * minimumElementBytes > remainingBytes()) {
            throw malformed(field, "a length within the frame");
        }
        return count;
    }

    private long remainingBytes() {
        return lengthBytes - unpacker.getTotalReadBytes();
    }
}
