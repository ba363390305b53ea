package dev.foxtailshed.wire.internal;

import dev.foxtailshed.kernel.AttemptId;
import dev.foxtailshed.wire.Message.Header;
import java.io.IOException;
import java.util.List;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;

/**
 * A writer of the fields of a frame, which reuses its array for one frame after another.
 *
 * <p>Not thread-safe; each thread that encodes uses its own writer.
 */
public final class FrameWriter {

    static final int ATTEMPT_ID_FIELDS = 3;
    static final int HEADER_FIELDS = 2;

    private final GrowingOutput output = new GrowingOutput(FrameCodec.LENGTH_BYTES);
    private final MessagePacker packer = MessagePack.newDefaultPacker(output);

    /** Creates a writer that holds no frame yet. */
    public FrameWriter() {}

    /**
     * Returns the array that holds the last frame, starting at index 0.
     *
     * @return the internal array, which the next frame overwrites
     */
    public byte[] array() {
        return output.array();
    }

    /**
     * Returns the size of the last frame.
     *
     * @return the size in bytes, including the length field
     */
    public int sizeBytes() {
        return output.sizeBytes();
    }

    void begin() throws IOException {
        packer.flush();
        output.reset();
    }

    void finish() throws IOException {
        packer.flush();
        byte[] bytes = output.array();
        int lengthBytes = output.sizeBytes() - FrameCodec.LENGTH_BYTES;
        bytes[0] = (byte) (lengthBytes >>> 24);
        bytes[1] = (byte) (lengthBytes >>> 16);
        bytes[2] = (byte) (lengthBytes >>> 8);
        bytes[3] = (byte) lengthBytes;
    }

    FrameWriter writeArrayHeader(int size) throws IOException {
        packer.packArrayHeader(size);
        return this;
    }

    FrameWriter writeNil() throws IOException {
        packer.packNil();
        return this;
    }

    FrameWriter writeBoolean(boolean value) throws IOException {
        packer.packBoolean(value);
        return this;
    }

    FrameWriter writeLong(long value) throws IOException {
        packer.packLong(value);
        return this;
    }

    FrameWriter writeString(String value) throws IOException {
        packer.packString(value);
        return this;
    }

    FrameWriter writeBinary(byte[] value) throws IOException {
        packer.packBinaryHeader(value.length);
        packer.writePayload(value);
        return this;
    }

    FrameWriter writeEnum(Enum<?> value) throws IOException {
        return writeLong(value.ordinal());
    }

    FrameWriter writeAttemptId(AttemptId id) throws IOException {
        return writeArrayHeader(ATTEMPT_ID_FIELDS)
                .writeLong(id.entryIncarnation())
                .writeLong(id.sequence())
                .writeLong(id.attempt());
    }

    FrameWriter writeHeaders(List<Header> headers) throws IOException {
        writeArrayHeader(headers.size());
        for (Header header : headers) {
            writeArrayHeader(HEADER_FIELDS).writeString(header.name()).writeString(header.value());
        }
        return this;
    }
}
