package dev.foxtailshed.wire.internal;

import dev.foxtailshed.wire.Message.Cancel;
import dev.foxtailshed.wire.Message.Grant;
import dev.foxtailshed.wire.Message.Offer;
import dev.foxtailshed.wire.Message.Refuse;
import dev.foxtailshed.wire.WorkKind;
import java.io.IOException;
import java.util.List;

/** The codecs of the messages that negotiate and cancel the reservation of an attempt. */
final class OfferCodecs {

    static final int OFFER_FIELDS = Offer.class.getRecordComponents().length;

    private static final List<WorkKind> WORK_KINDS = List.of(WorkKind.values());

    private OfferCodecs() {}

    static CodecGroup group() {
        return CodecGroup.of(
                List.of(
                        new MessageCodec<>(
                                8, Offer.class, OfferCodecs::writeOffer, OfferCodecs::readOffer),
                        new MessageCodec<>(
                                9,
                                Grant.class,
                                (out, m) ->
                                        out.writeAttemptId(m.attemptId())
                                                .writeLong(m.lapseMillis()),
                                in -> new Grant(in.readAttemptId(), in.readLong("lapseMillis"))),
                        new MessageCodec<>(
                                10,
                                Refuse.class,
                                (out, m) ->
                                        out.writeAttemptId(m.attemptId())
                                                .writeString(m.reason())
                                                .writeString(m.text())
                                                .writeLong(m.retryAfterMillis()),
                                in ->
                                        new Refuse(
                                                in.readAttemptId(),
                                                in.readString("reason"),
                                                in.readString("text"),
                                                in.readLong("retryAfterMillis"))),
                        new MessageCodec<>(
                                11,
                                Cancel.class,
                                (out, m) -> out.writeAttemptId(m.attemptId()),
                                in -> new Cancel(in.readAttemptId()))));
    }

    static void writeOffer(FrameWriter out, Offer offer) throws IOException {
        out.writeAttemptId(offer.attemptId())
                .writeEnum(offer.kind())
                .writeString(offer.deployment())
                .writeLong(offer.manifestVersion())
                .writeLong(offer.pieces())
                .writeLong(offer.promptTokens())
                .writeLong(offer.priority())
                .writeLong(offer.neededInMillis());
    }

    static Offer readOffer(FrameReader in) throws MalformedFrameException {
        return new Offer(
                in.readAttemptId(),
                in.readEnum("kind", WORK_KINDS),
                in.readString("deployment"),
                in.readLong("manifestVersion"),
                in.readInt("pieces"),
                in.readLong("promptTokens"),
                in.readInt("priority"),
                in.readLong("neededInMillis"));
    }
}
