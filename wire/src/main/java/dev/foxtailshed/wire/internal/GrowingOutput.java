package dev.foxtailshed.wire.internal;

import java.util.Arrays;
import org.msgpack.core.buffer.MessageBuffer;
import org.msgpack.core.buffer.MessageBufferOutput;

/**
 * An output that collects a frame in a reused array, after space reserved for the length field.
 *
 * <p>Not thread-safe.
 */
final class GrowingOutput implements MessageBufferOutput {

    private static final int INITIAL_BYTES = 4 * 1024;
    private static final int MAXIMUM_RETAINED_BYTES = 64 * 1024;

    private final int headerBytes;
    private byte[] bytes = new byte[INITIAL_BYTES];
    private MessageBuffer initialBuffer;
    private int sizeBytes;

    GrowingOutput(int headerBytes) {
        this.headerBytes = headerBytes;
        this.sizeBytes = headerBytes;
    }

    void reset() {
        sizeBytes = headerBytes;
        if (bytes.length > MAXIMUM_RETAINED_BYTES) {
            bytes = new byte[INITIAL_BYTES];
            initialBuffer = null;
        }
    }

    byte[] array() {
        return bytes;
    }

    int sizeBytes() {
        return sizeBytes;
    }

    @Override
    public MessageBuffer next(int minimumSize) {
        ensureCapacity(minimumSize);
        if (sizeBytes > headerBytes) {
            return MessageBuffer.wrap(bytes, sizeBytes, bytes.length - sizeBytes);
        }
        if (initialBuffer == null) {
            initialBuffer = MessageBuffer.wrap(bytes, headerBytes, bytes.length - headerBytes);
        }
        return initialBuffer;
    }

    @Override
    public void writeBuffer(int length) {
        sizeBytes += length;
    }

    @Override
    public void write(byte[] buffer, int offset, int length) {
        ensureCapacity(length);
        System.arraycopy(buffer, offset, bytes, sizeBytes, length);
        sizeBytes += length;
    }

    @Override
    public void add(byte[] buffer, int offset, int length) {
        write(buffer, offset, length);
    }

    @Override
    public void flush() {
        // Nothing to flush: the frame is read from the array.
    }

    @Override
    public void close() {
        // Holds no resources.
    }

    private void ensureCapacity(int extraBytes) {
        int neededBytes = Math.addExact(sizeBytes, extraBytes);
        if (neededBytes > bytes.length) {
            int doubledBytes = (int) Math.min(Integer.MAX_VALUE - 8L, 2L * bytes.length);
            bytes = Arrays.copyOf(bytes, Math.max(neededBytes, doubledBytes));
            initialBuffer = null;
        }
    }
}
