package dev.foxtailshed.wire.internal;

/**
 * Thrown when a frame violates the protocol; names the frame type, the field and what was expected.
 */
public final class MalformedFrameException extends Exception {

    private final String frameType;
    private final String field;
    private final String expected;

    /**
     * Creates an exception with a message made of the three parts.
     *
     * @param frameType the simple name of the message type, or "frame" if not known yet
     * @param field the name of the invalid field
     * @param expected the value or form that the protocol requires
     */
    public MalformedFrameException(String frameType, String field, String expected) {
        super(frameType + "." + field + ": expected " + expected);
        this.frameType = frameType;
        this.field = field;
        this.expected = expected;
    }

    /**
     * Returns the type of the frame.
     *
     * @return the simple name of the message type, or "frame" if not known yet
     */
    public String frameType() {
        return frameType;
    }

    /** Returns the name of the invalid field. */
    public String field() {
        return field;
    }

    /** Returns the value or form that the protocol requires. */
    public String expected() {
        return expected;
    }
}
