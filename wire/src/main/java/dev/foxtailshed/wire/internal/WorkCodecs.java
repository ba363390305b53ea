package dev.foxtailshed.wire.internal;

import dev.foxtailshed.wire.Message.CallWork;
import dev.foxtailshed.wire.Message.Commit;
import dev.foxtailshed.wire.Message.DecodeWork;
import dev.foxtailshed.wire.Message.Dispatch;
import dev.foxtailshed.wire.Message.KvExport;
import dev.foxtailshed.wire.Message.PrefillWork;
import dev.foxtailshed.wire.Message.Work;
import java.io.IOException;
import java.util.List;

/** The codecs of the messages that carry work to run. */
final class WorkCodecs {

    private static final int CALL = 1;
    private static final int PREFILL = 2;
    private static final int DECODE = 3;
    private static final int CALL_FIELDS = CallWork.class.getRecordComponents().length;
    private static final int PREFILL_FIELDS = PrefillWork.class.getRecordComponents().length;
    private static final int DECODE_FIELDS = DecodeWork.class.getRecordComponents().length;
    private static final int EXPORT_FIELDS = KvExport.class.getRecordComponents().length;

    private WorkCodecs() {}

    static CodecGroup group() {
        return CodecGroup.of(
                List.of(
                        new MessageCodec<>(
                                12,
                                Commit.class,
                                (out, m) -> writeWork(out.writeAttemptId(m.attemptId()), m.work()),
                                in -> new Commit(in.readAttemptId(), readWork(in))),
                        new MessageCodec<>(
                                13,
                                Dispatch.class,
                                (out, m) -> {
                                    OfferCodecs.writeOffer(
                                            out.writeArrayHeader(OfferCodecs.OFFER_FIELDS),
                                            m.offer());
                                    writeWork(out, m.work());
                                },
                                in -> {
                                    in.requireArray("offer", OfferCodecs.OFFER_FIELDS);
                                    return new Dispatch(OfferCodecs.readOffer(in), readWork(in));
                                })));
    }

    static void writeExport(FrameWriter out, KvExport export) throws IOException {
        out.writeArrayHeader(EXPORT_FIELDS)
                .writeString(export.handle())
                .writeString(export.sourceUrl())
                .writeLong(export.sizeBytes());
    }

    static KvExport readExport(FrameReader in) throws MalformedFrameException {
        in.requireArray("export", EXPORT_FIELDS);
        return new KvExport(
                in.readString("export.handle"),
                in.readString("export.sourceUrl"),
                in.readLong("export.sizeBytes"));
    }

    private static void writeWork(FrameWriter out, Work work) throws IOException {
        if (work instanceof CallWork) {
            writeCall(out, (CallWork) work);
        } else if (work instanceof PrefillWork) {
            writePrefill(out, (PrefillWork) work);
        } else {
            writeDecode(out, (DecodeWork) work);
        }
    }

    private static Work readWork(FrameReader in) throws MalformedFrameException {
        int size = in.readArrayHeader("work", 1);
        int kind = in.readInt("work.kind");
        switch (kind) {
            case CALL:
                requireFieldCount(in, size, CALL_FIELDS);
                return readCall(in);
            case PREFILL:
                requireFieldCount(in, size, PREFILL_FIELDS);
                return readPrefill(in);
            case DECODE:
                requireFieldCount(in, size, DECODE_FIELDS);
                return readDecode(in);
            default:
                throw in.malformed("work.kind", "a known kind of work");
        }
    }

    private static void requireFieldCount(FrameReader in, int size, int fieldCount)
            throws MalformedFrameException {
        if (size != 1 + fieldCount) {
            throw in.malformed("work", "exactly " + fieldCount + " fields");
        }
    }

    private static void writeCall(FrameWriter out, CallWork work) throws IOException {
        out.writeArrayHeader(1 + CALL_FIELDS)
                .writeLong(CALL)
                .writeString(work.method())
                .writeString(work.path())
                .writeHeaders(work.headers())
                .writeBinary(work.body())
                .writeLong(work.timeoutMillis());
    }

    private static CallWork readCall(FrameReader in) throws MalformedFrameException {
        return new CallWork(
                in.readString("work.method"),
                in.readString("work.path"),
                in.readHeaders("work.headers"),
                in.readBinary("work.body"),
                in.readLong("work.timeoutMillis"));
    }

    private static void writePrefill(FrameWriter out, PrefillWork work) throws IOException {
        out.writeArrayHeader(1 + PREFILL_FIELDS)
                .writeLong(PREFILL)
                .writeString(work.model())
                .writeString(work.prompt())
                .writeLong(work.priority())
                .writeLong(work.timeoutMillis());
    }

    private static PrefillWork readPrefill(FrameReader in) throws MalformedFrameException {
        return new PrefillWork(
                in.readString("work.model"),
                in.readString("work.prompt"),
                in.readInt("work.priority"),
                in.readLong("work.timeoutMillis"));
    }

    private static void writeDecode(FrameWriter out, DecodeWork work) throws IOException {
        out.writeArrayHeader(1 + DECODE_FIELDS)
                .writeLong(DECODE)
                .writeString(work.model())
                .writeString(work.prompt())
                .writeString(work.generated())
                .writeLong(work.generatedTokens())
                .writeLong(work.maxTokens())
                .writeLong(work.priority())
                .writeLong(work.timeoutMillis());
        writeExport(out, work.export());
    }

    private static DecodeWork readDecode(FrameReader in) throws MalformedFrameException {
        return new DecodeWork(
                in.readString("work.model"),
                in.readString("work.prompt"),
                in.readString("work.generated"),
                in.readInt("work.generatedTokens"),
                in.readInt("work.maxTokens"),
                in.readInt("work.priority"),
                in.readLong("work.timeoutMillis"),
                readExport(in));
    }
}
