package dev.foxtailshed.wire.internal;

import dev.foxtailshed.wire.Message;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Encodes messages as frames and decodes them.
 *
 * <p>A frame consists of a length of four bytes, big-endian, and a MessagePack array of the type
 * number and the components of the message record in their declared order. Immutable and
 * thread-safe; writers and readers are not.
 */
public final class FrameCodec {

    /** The size of the length field at the start of each frame. */
    public static final int LENGTH_BYTES = 4;

    static final String UNKNOWN_FRAME_TYPE = "frame";

    private final int maximumFrameBytes;
    private final Map<Class<?>, MessageCodec<? extends Message>> codecsByClass =
            new IdentityHashMap<>();
    private final MessageCodec<?>[] codecsByTypeNumber;

    /**
     * Creates a codec of all message types.
     *
     * @param maximumFrameBytes the maximum size of a frame, not counting its length field
     * @throws IllegalArgumentException if the maximum is not positive
     */
    public FrameCodec(int maximumFrameBytes) {
        this(
                maximumFrameBytes,
                List.of(
                        AnswerCodecs.group(),
                        OfferCodecs.group(),
                        WorkCodecs.group(),
                        SessionCodecs.group()));
    }

    FrameCodec(int maximumFrameBytes, List<CodecGroup> groups) {
        if (maximumFrameBytes <= 0) {
            throw new IllegalArgumentException("maximumFrameBytes must be positive");
        }
        this.maximumFrameBytes = maximumFrameBytes;
        Class<?>[] types = Message.class.getPermittedSubclasses();
        this.codecsByTypeNumber = new MessageCodec<?>[types.length + 1];
        for (Class<?> type : types) {
            MessageCodec<? extends Message> codec = findCodec(type, groups);
            if (codecsByTypeNumber[codec.typeNumber()] != null) {
                throw new IllegalStateException("type number used twice: " + codec.typeNumber());
            }
            codecsByTypeNumber[codec.typeNumber()] = codec;
            codecsByClass.put(type, codec);
        }
    }

    /**
     * Returns the maximum size of a frame.
     *
     * @return the maximum in bytes, not counting the length field
     */
    public int maximumFrameBytes() {
        return maximumFrameBytes;
    }

    /**
     * Encodes a message into the buffer of the writer.
     *
     * @param message the message to encode
     * @param out the writer, whose previous frame is overwritten
     * @throws IllegalArgumentException if the frame exceeds the maximum size
     */
    public void encode(Message message, FrameWriter out) {
        try {
            out.begin();
            codecsByClass.get(message.getClass()).write(out, message);
            out.finish();
        } catch (IOException e) {
            throw new UncheckedIOException("writing to an array cannot fail", e);
        }
        if (out.sizeBytes() - LENGTH_BYTES > maximumFrameBytes) {
            throw new IllegalArgumentException(
                    message.getClass().getSimpleName()
                            + " exceeds the maximum frame size: "
                            + out.sizeBytes()
                            + " bytes");
        }
    }

    /**
     * Decodes the content of one frame.
     *
     * @param in the reader to use
     * @param bytes the array that holds the frame
     * @param offset the index of the first byte after the length field
     * @param lengthBytes the length of the content
     * @return the decoded message
     * @throws MalformedFrameException if the content is not exactly one valid message
     */
    public Message decode(FrameReader in, byte[] bytes, int offset, int lengthBytes)
            throws MalformedFrameException {
        in.begin(bytes, offset, lengthBytes);
        int arraySize = in.readArrayHeader("fields", 1);
        int typeNumber = in.readInt("type");
        if (typeNumber <= 0 || typeNumber >= codecsByTypeNumber.length) {
            throw in.malformed("type", "a known type number");
        }
        Message message = codecsByTypeNumber[typeNumber].read(in, arraySize);
        in.finish();
        return message;
    }

    /**
     * Checks the declared length of a frame before its content is read.
     *
     * @param lengthBytes the value of the length field
     * @param limitBytes the maximum length allowed at this point of the connection
     * @throws MalformedFrameException if the length is not positive or exceeds the limit
     */
    static void requireValidLength(int lengthBytes, int limitBytes) throws MalformedFrameException {
        if (lengthBytes <= 0 || lengthBytes > limitBytes) {
            throw new MalformedFrameException(
                    UNKNOWN_FRAME_TYPE, "length", "1 to " + limitBytes + ", not " + lengthBytes);
        }
    }

    private static MessageCodec<? extends Message> findCodec(
            Class<?> type, List<CodecGroup> groups) {
        for (CodecGroup group : groups) {
            Optional<MessageCodec<? extends Message>> codec = group.find(type);
            if (codec.isPresent()) {
                return codec.get();
            }
        }
        throw new IllegalStateException("no codec for " + type.getName());
    }
}
