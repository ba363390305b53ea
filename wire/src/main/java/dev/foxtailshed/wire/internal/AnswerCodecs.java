package dev.foxtailshed.wire.internal;

import dev.foxtailshed.kernel.Verdict;
import dev.foxtailshed.wire.Message.AnswerEnd;
import dev.foxtailshed.wire.Message.AnswerHead;
import dev.foxtailshed.wire.Message.AnswerPart;
import dev.foxtailshed.wire.Message.Failed;
import dev.foxtailshed.wire.Message.Outcome;
import dev.foxtailshed.wire.Message.OutcomeQuery;
import dev.foxtailshed.wire.Message.Prefilled;
import dev.foxtailshed.wire.Message.StoredAnswer;
import java.io.IOException;
import java.util.List;
import java.util.Optional;

/** The codecs of the messages that carry answers and outcomes. */
final class AnswerCodecs {

    private static final List<Verdict> VERDICTS = List.of(Verdict.values());
    private static final int STORED_ANSWER_FIELDS = StoredAnswer.class.getRecordComponents().length;

    private AnswerCodecs() {}

    static CodecGroup group() {
        return CodecGroup.of(
                List.of(
                        answerHead(),
                        answerPart(),
                        answerEnd(),
                        prefilled(),
                        failed(),
                        new MessageCodec<>(
                                19,
                                OutcomeQuery.class,
                                (out, m) ->
                                        out.writeAttemptId(m.attemptId())
                                                .writeLong(m.sidecarIncarnation()),
                                in ->
                                        new OutcomeQuery(
                                                in.readAttemptId(),
                                                in.readLong("sidecarIncarnation"))),
                        new MessageCodec<>(
                                20,
                                Outcome.class,
                                AnswerCodecs::writeOutcome,
                                in ->
                                        new Outcome(
                                                in.readAttemptId(),
                                                in.readEnum("verdict", VERDICTS),
                                                readStoredAnswer(in)))));
    }

    private static MessageCodec<AnswerHead> answerHead() {
        return new MessageCodec<>(
                14,
                AnswerHead.class,
                (out, m) ->
                        out.writeAttemptId(m.attemptId())
                                .writeLong(m.status())
                                .writeHeaders(m.headers()),
                in ->
                        new AnswerHead(
                                in.readAttemptId(),
                                in.readInt("status"),
                                in.readHeaders("headers")));
    }

    private static MessageCodec<AnswerPart> answerPart() {
        return new MessageCodec<>(
                15,
                AnswerPart.class,
                (out, m) ->
                        out.writeAttemptId(m.attemptId())
                                .writeLong(m.position())
                                .writeLong(m.tokens())
                                .writeBinary(m.content()),
                in ->
                        new AnswerPart(
                                in.readAttemptId(),
                                in.readLong("position"),
                                in.readInt("tokens"),
                                in.readBinary("content")));
    }

    private static MessageCodec<AnswerEnd> answerEnd() {
        return new MessageCodec<>(
                16,
                AnswerEnd.class,
                (out, m) ->
                        out.writeAttemptId(m.attemptId())
                                .writeLong(m.parts())
                                .writeString(m.finishReason())
                                .writeLong(m.cachedTokens())
                                .writeLong(m.promptTokens()),
                in ->
                        new AnswerEnd(
                                in.readAttemptId(),
                                in.readLong("parts"),
                                in.readString("finishReason"),
                                in.readLong("cachedTokens"),
                                in.readLong("promptTokens")));
    }

    private static MessageCodec<Prefilled> prefilled() {
        return new MessageCodec<>(
                17,
                Prefilled.class,
                (out, m) -> {
                    WorkCodecs.writeExport(out.writeAttemptId(m.attemptId()), m.export());
                    out.writeLong(m.promptTokens()).writeLong(m.cachedTokens());
                },
                in ->
                        new Prefilled(
                                in.readAttemptId(),
                                WorkCodecs.readExport(in),
                                in.readLong("promptTokens"),
                                in.readLong("cachedTokens")));
    }

    private static MessageCodec<Failed> failed() {
        return new MessageCodec<>(
                18,
                Failed.class,
                (out, m) ->
                        out.writeAttemptId(m.attemptId())
                                .writeEnum(m.verdict())
                                .writeString(m.code())
                                .writeString(m.text()),
                in ->
                        new Failed(
                                in.readAttemptId(),
                                in.readEnum("verdict", VERDICTS),
                                in.readString("code"),
                                in.readString("text")));
    }

    private static void writeOutcome(FrameWriter out, Outcome outcome) throws IOException {
        out.writeAttemptId(outcome.attemptId()).writeEnum(outcome.verdict());
        if (outcome.answer().isEmpty()) {
            out.writeNil();
            return;
        }
        StoredAnswer answer = outcome.answer().get();
        out.writeArrayHeader(STORED_ANSWER_FIELDS)
                .writeLong(answer.status())
                .writeHeaders(answer.headers())
                .writeBinary(answer.body());
    }

    private static Optional<StoredAnswer> readStoredAnswer(FrameReader in)
            throws MalformedFrameException {
        if (in.readNilIfPresent("answer")) {
            return Optional.empty();
        }
        in.requireArray("answer", STORED_ANSWER_FIELDS);
        return Optional.of(
                new StoredAnswer(
                        in.readInt("answer.status"),
                        in.readHeaders("answer.headers"),
                        in.readBinary("answer.body")));
    }
}
