package dev.foxtailshed.wire.internal;

import dev.foxtailshed.wire.Message;
import java.util.List;
import java.util.Optional;

/** The codecs of a group of message types. */
@FunctionalInterface
interface CodecGroup {

    /** Returns the codec of a message type, or empty if the type is not in this group. */
    Optional<MessageCodec<? extends Message>> find(Class<?> type);

    /** Returns a group of the given codecs. */
    static CodecGroup of(List<MessageCodec<? extends Message>> codecs) {
        return type -> {
            for (MessageCodec<? extends Message> codec : codecs) {
                if (codec.type() == type) {
                    return Optional.of(codec);
                }
            }
            return Optional.empty();
        };
    }
}
