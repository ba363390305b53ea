package dev.foxtailshed.wire.internal;

import dev.foxtailshed.wire.Message;
import java.util.List;
import java.util.Optional;

/** Gives the codecs of one group of messages. */
@FunctionalInterface
interface CodecGroup {

    /** Returns the codec of a message type, or empty if another factory has it. */
    Optional<MessageCodec<? extends Message>> find(Class<?> type);

    /** Returns a factory over a fixed group. */
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
