package dev.foxtailshed.wire.internal;

import dev.foxtailshed.wire.Message;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;

/**
 * Buffers bytes from the network until a frame is complete.
 *
 * <p>The buffer grows with the bytes received, not with the length that a frame declares, so a
 * false length cannot cause a large allocation. Not thread-safe.
 */
final class FrameAssembler {

    private static final int INITIAL_BYTES = 16 * 1024;
    private static final int MAXIMUM_RETAINED_BYTES = 64 * 1024;

    private final FrameCodec codec;
    private final FrameReader reader = new FrameReader();
    private ByteBuffer buffer = BufferUtil.allocate(INITIAL_BYTES);

    FrameAssembler(FrameCodec codec) {
        this.codec = codec;
    }

    /**
     * Reads the available bytes; returns their number, 0 if there are none and a negative number at
     * the end of the stream.
     */
    int fill(EndPoint endPoint) throws IOException {
        ensureSpace();
        return endPoint.fill(buffer);
    }

    /** Returns whether a complete frame is buffered, after checking its length field. */
    boolean hasFrame(int limitBytes) throws MalformedFrameException {
        if (buffer.remaining() < FrameCodec.LENGTH_BYTES) {
            return false;
        }
        int lengthBytes = buffer.getInt(buffer.position());
        FrameCodec.requireValidLength(lengthBytes, limitBytes);
        return buffer.remaining() - FrameCodec.LENGTH_BYTES >= lengthBytes;
    }

    /** Removes a complete frame from the buffer and decodes it. */
    Message decodeFrame() throws MalformedFrameException {
        int lengthBytes = buffer.getInt();
        int offset = buffer.arrayOffset() + buffer.position();
        buffer.position(buffer.position() + lengthBytes);
        return codec.decode(reader, buffer.array(), offset, lengthBytes);
    }

    private void ensureSpace() {
        if (buffer.remaining() == buffer.capacity()) {
            ByteBuffer larger = BufferUtil.allocate(Math.multiplyExact(2, buffer.capacity()));
            BufferUtil.append(larger, buffer);
            buffer = larger;
        } else if (!buffer.hasRemaining() && buffer.capacity() > MAXIMUM_RETAINED_BYTES) {
            buffer = BufferUtil.allocate(INITIAL_BYTES);
        } else if (BufferUtil.space(buffer) < buffer.capacity() / 2) {
            BufferUtil.compact(buffer);
        }
    }
}
