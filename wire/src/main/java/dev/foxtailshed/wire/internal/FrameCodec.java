package dev.foxtailshed.wire.internal;

import dev.foxtailshed.wire.Message;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Turns messages into frames and back.
 *
 * <p>A frame is its length in four bytes, big-endian, and a MessagePack array of the type number
 * and the fields in the order of the record. Immutable and thread-safe; writers and readers are
 * not.
 */
public final class FrameCodec {

    /** The size of the length in front of each frame. */
    public static final int LENGTH_BYTES = 4;

    static final String UNKNOWN_FRAME_TYPE = "frame";

    private final int maximumFrameBytes;
    private final Map<Class<?>, MessageCodec<? extends Message>> codecsByClass =
            new IdentityHashMap<>();
    private final MessageCodec<?>[] codecsByTypeNumber;

    /**
     * Creates a codec of all messages.
     *
     * @param maximumFrameBytes the longest frame, its length field not counted
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
     * Returns the limit on frames.
     *
     * @return the longest frame, its length field not counted
     */
    public int maximumFrameBytes() {
        return maximumFrameBytes;
    }

    /**
     * Encodes one message; the writer then holds the frame.
     *
     * @param message the message
     * @param out the writer, whose last frame is overwritten
     * @throws IllegalArgumentException if the frame would be longer than the limit
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
                            + " is longer than a frame may be: "
                            + out.sizeBytes()
                            + " bytes");
        }
    }

    /**
     * Decodes the content of one frame.
     *
     * @param in the reader to use
     * @param bytes holds the frame
     * @param offset where its content begins, after the length
     * @param lengthBytes the length of its content
     * @return the message
     * @throws MalformedFrameException if the content is not exactly one message
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
     * Checks the length of a frame before any of its content is taken.
     *
     * @param lengthBytes the length as read
     * @param limitBytes the longest frame allowed now
     * @throws MalformedFrameException if it is negative, zero or over the limit
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
