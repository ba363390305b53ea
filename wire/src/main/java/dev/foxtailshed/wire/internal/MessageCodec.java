package dev.foxtailshed.wire.internal;

import dev.foxtailshed.wire.Message;
import java.io.IOException;
import java.util.Objects;

/**
 * Writes and reads messages of one type.
 *
 * @param <M> the message type
 */
final class MessageCodec<M extends Message> {

    private final int typeNumber;
    private final Class<M> type;
    private final String frameType;
    private final int fieldCount;
    private final Writer<M> writer;
    private final Reader<M> reader;

    MessageCodec(int typeNumber, Class<M> type, Writer<M> writer, Reader<M> reader) {
        this.typeNumber = typeNumber;
        this.type = Objects.requireNonNull(type, "type");
        this.frameType = type.getSimpleName();
        this.fieldCount = type.getRecordComponents().length;
        this.writer = Objects.requireNonNull(writer, "writer");
        this.reader = Objects.requireNonNull(reader, "reader");
    }

    int typeNumber() {
        return typeNumber;
    }

    Class<M> type() {
        return type;
    }

    void write(FrameWriter out, Message message) throws IOException {
        out.writeArrayHeader(1 + fieldCount).writeLong(typeNumber);
        writer.write(out, type.cast(message));
    }

    /** Reads the fields that follow the type number. */
    M read(FrameReader in, int arraySize) throws MalformedFrameException {
        in.setFrameType(frameType);
        if (arraySize != 1 + fieldCount) {
            throw in.malformed("fields", "exactly " + fieldCount + " fields");
        }
        return reader.read(in);
    }

    /** Writes the fields of a message in their declared order. */
    @FunctionalInterface
    interface Writer<M> {
        void write(FrameWriter out, M message) throws IOException;
    }

    /** Reads the fields of a message in their declared order. */
    @FunctionalInterface
    interface Reader<M> {
        M read(FrameReader in) throws MalformedFrameException;
    }
}
