package dev.foxtailshed.standins.internal.engine;

import dev.foxtailshed.standins.EngineSettings;
import dev.foxtailshed.standins.internal.http.Call;
import dev.foxtailshed.standins.internal.http.Reply;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * The scheduler of an engine, which admits requests and prefills and decodes them in steps.
 *
 * <p>A step prefills some tokens of the current batch of prompts and generates one token for each
 * decoding request. A request reserves all memory that it can need when it is admitted. Safe for
 * use by many threads.
 */
final class Engine {

    private static final int CRASH_DECODE_TOKENS = 3;
    private static final double STEP_SLOWDOWN_PER_REQUEST = 0.01;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int CANCELLED_STATUS = 499;
    private static final String ABORT_REASON = "abort";

    private final EngineSettings settings;
    private final ScheduledExecutorService scheduler;
    private final Runnable crash;
    private final String baseUrl;
    private final KvTransferLink link;
    private final CacheEvents cacheEvents;
    private final PrefixCache prefixCache;
    private final AdmittedRequests admitted;
    private final Counters counters = new Counters();
    private double slowFactor = 1;
    private double prefillTokenBudget;
    private long lastSequence;
    private long lastExportNumber;
    private boolean stepping;

    Engine(
            EngineSettings settings,
            ScheduledExecutorService scheduler,
            Runnable crash,
            String baseUrl,
            LinkFactory linkFactory,
            CacheEvents cacheEvents) {
        this.settings = settings;
        this.scheduler = scheduler;
        this.crash = crash;
        this.baseUrl = baseUrl;
        this.link = linkFactory.newLink(this::onImportEnded);
        this.cacheEvents = cacheEvents;
        this.prefixCache =
                new PrefixCache(settings.prefixCachePieces, settings.tokensPerPiece, cacheEvents);
        this.admitted = new AdmittedRequests(settings);
    }

    /** Admits a request, or returns the reply that refuses it. */
    synchronized Optional<Reply> admit(
            String requestId, CompletionRequest completionRequest, Call call) {
        String[] promptWords = CompletionText.splitWords(completionRequest.prompt());
        String[] continueWords = CompletionText.splitWords(completionRequest.continueText());
        int promptTokens = promptWords.length + continueWords.length;
        int pieces = piecesFor(completionRequest, promptWords.length, continueWords.length);
        if (pieces > settings.kvPieces) {
            return Optional.of(
                    Reply.error(400, "the request needs more pieces than the engine has"));
        }
        EngineRequest request =
                new EngineRequest(
                        requestId, completionRequest, call, promptTokens, pieces, ++lastSequence);
        if (completionRequest.isPrefill()) {
            lookUpPrefix(request, concat(promptWords, continueWords));
        }
        if (!admitted.add(request)) {
            return Optional.of(Reply.error(429, "no free slots or pieces"));
        }
        call.onCallerDisconnected(() -> cancel(request));
        if (completionRequest.isPrefill()) {
            startStepping();
        } else {
            link.add(request);
        }
        return Optional.empty();
    }

    /** Cancels the requests with an id and releases what they hold. */
    synchronized void cancel(String requestId) {
        admitted.withId(requestId).forEach(this::cancel);
    }

    /** Releases an export; returns false if it does not exist any more. */
    synchronized boolean takeExport(String handle) {
        Optional<EngineRequest> export = admitted.findExport(handle);
        export.ifPresent(this::release);
        return export.isPresent();
    }

    synchronized void setFaults(EngineFaults faults) {
        slowFactor = faults.slowFactor();
        link.setTimeFactor(faults.linkFactor());
        cacheEvents.setLossPercent(faults.cacheEventLossPercent());
    }

    synchronized void countFencingRefusal() {
        counters.fencingRefusals++;
    }

    synchronized EngineReplies.RequestListing requestListing() {
        return admitted.requestListing();
    }

    synchronized EngineReplies.Load load(long lagMillis) {
        return admitted.load(lagMillis);
    }

    synchronized EngineReplies.Counts counts() {
        return new EngineReplies.Counts(
                counters.prefilledTokens,
                counters.prefills,
                counters.decodes,
                counters.decodedTokens,
                counters.exportsEvicted,
                counters.cancels,
                counters.fencingRefusals,
                admitted.heldSlots(),
                admitted.heldPieces(),
                admitted.inPhase(EngineRequest.Phase.EXPORT).size());
    }

    private int piecesFor(CompletionRequest completionRequest, int promptWords, int continueWords) {
        int completionTokens =
                Math.max(completionRequest.maximumTokens(), completionRequest.continueTokens());
        int tokens =
                promptWords + (completionRequest.isPrefill() ? continueWords : completionTokens);
        return Math.max(1, ceilDiv(tokens, settings.tokensPerPiece));
    }

    private void lookUpPrefix(EngineRequest request, String[] words) {
        request.prefixHashes = prefixCache.prefixHashes(request.completionRequest.model(), words);
        int cached = prefixCache.lookUp(request.prefixHashes);
        request.cachedTokens = Math.max(0, Math.min(cached, words.length - 1));
        request.prefillTokensLeft = words.length - request.cachedTokens;
    }

    private synchronized void cancel(EngineRequest request) {
        if (request.ended) {
            return;
        }
        counters.cancels++;
        release(request);
        if (request.stream.isPresent()) {
            String last = EngineReplies.finalEvent(request, "", ABORT_REASON);
            request.stream.get().write(last + EngineReplies.DONE_EVENT, true);
        } else if (request.phase != EngineRequest.Phase.EXPORT) {
            request.call.reply(Reply.error(CANCELLED_STATUS, "cancelled"));
        }
    }

    private void release(EngineRequest request) {
        request.ended = true;
        admitted.remove(request);
        link.remove(request);
    }

    private synchronized void onImportEnded(EngineRequest request, Optional<String> failure) {
        if (request.ended) {
            return;
        }
        if (failure.isPresent()) {
            release(request);
            request.call.reply(
                    Reply.error(410, "the export could not be imported: " + failure.get()));
            return;
        }
        request.stream = request.call.stream(200, "text/event-stream");
        if (request.stream.isEmpty()) {
            release(request);
            return;
        }
        request.phase = EngineRequest.Phase.DECODE;
        request.stream.get().write("", false);
        startStepping();
    }

    private void startStepping() {
        if (!stepping) {
            stepping = true;
            prefillTokenBudget = 0;
            scheduleStep(System.nanoTime());
        }
    }

    private void scheduleStep(long lastStepNanos) {
        long stepNanos = stepNanos();
        long dueNanos = lastStepNanos + stepNanos;
        long delayNanos = Math.max(0, dueNanos - System.nanoTime());
        scheduler.schedule(() -> step(dueNanos, stepNanos), delayNanos, TimeUnit.NANOSECONDS);
    }

    private long stepNanos() {
        int batch = admitted.inPhase(EngineRequest.Phase.DECODE).size();
        double batchFactor = 1 + STEP_SLOWDOWN_PER_REQUEST * Math.max(0, batch - 1);
        return (long) (settings.tokenMillis * NANOS_PER_MILLI * batchFactor * slowFactor);
    }

    private synchronized void step(long dueNanos, long stepNanos) {
        try {
            prefillStep(stepNanos);
            admitted.inPhase(EngineRequest.Phase.DECODE).forEach(this::decodeStep);
        } catch (RuntimeException e) {
            // An exception must not end the chain of steps, or the engine would stop.
            Logger.error(e, "step of the engine failed");
        }
        admitted.recordLoad();
        boolean idle =
                admitted.inPhase(EngineRequest.Phase.PREFILL).isEmpty()
                        && admitted.inPhase(EngineRequest.Phase.DECODE).isEmpty();
        if (idle) {
            stepping = false;
        } else {
            // After a delay, later steps catch up by at most one step.
            scheduleStep(Math.max(dueNanos, System.nanoTime() - stepNanos));
        }
    }

    private void prefillStep(long stepNanos) {
        List<EngineRequest> batch = admitted.prefillBatch();
        if (batch.isEmpty()) {
            prefillTokenBudget = 0;
            return;
        }
        crashIfRequested(batch);
        double ratePerNano = settings.prefillTokensPerSecond / NANOS_PER_SECOND / slowFactor;
        prefillTokenBudget += stepNanos * ratePerNano;
        while (prefillTokenBudget >= 1 && !batch.isEmpty()) {
            long share = Math.max(1, (long) prefillTokenBudget / batch.size());
            Iterator<EngineRequest> requests = batch.iterator();
            while (requests.hasNext() && prefillTokenBudget >= 1) {
                EngineRequest request = requests.next();
                long stepTokens = Math.min(share, request.prefillTokensLeft);
                request.prefillTokensLeft -= stepTokens;
                prefillTokenBudget -= stepTokens;
                counters.prefilledTokens += stepTokens;
                if (request.prefillTokensLeft == 0) {
                    requests.remove();
                    finishPrefill(request);
                }
            }
        }
    }

    private void crashIfRequested(List<EngineRequest> batch) {
        if (batch.stream().anyMatch(r -> r.crashesEngine)) {
            crash.run();
        }
    }

    private void finishPrefill(EngineRequest request) {
        counters.prefills++;
        prefixCache.store(request.prefixHashes);
        admitted.startExport(request, settings.name + "-" + ++lastExportNumber);
        scheduler.schedule(() -> evict(request), settings.exportTtlMillis, TimeUnit.MILLISECONDS);
        long sizeBytes = request.promptTokens * settings.kvBytesPerToken;
        request.call.reply(EngineReplies.prefillReply(request, baseUrl, sizeBytes));
    }

    private synchronized void evict(EngineRequest request) {
        if (!request.ended) {
            counters.exportsEvicted++;
            release(request);
        }
    }

    private void decodeStep(EngineRequest request) {
        int generatedTokens = request.nextToken - request.completionRequest.continueTokens();
        boolean crashes =
                request.crashesEngine
                        || generatedTokens >= CRASH_DECODE_TOKENS && request.crashesDecode;
        if (crashes) {
            crash.run();
        }
        int maximumTokens = request.completionRequest.maximumTokens();
        int tokenCount = request.completionText.tokenCount(maximumTokens);
        String text = "";
        if (request.nextToken < tokenCount) {
            text = request.completionText.token(request.nextToken);
            request.nextToken++;
            counters.decodedTokens++;
        }
        if (request.nextToken < tokenCount) {
            request.stream.get().write(EngineReplies.tokenEvent(text), false);
            return;
        }
        counters.decodes++;
        release(request);
        String reason = request.completionText.finishReason(maximumTokens);
        request.stream
                .get()
                .write(
                        EngineReplies.finalEvent(request, text, reason) + EngineReplies.DONE_EVENT,
                        true);
    }

    private static int ceilDiv(int value, int divisor) {
        return (value + divisor - 1) / divisor;
    }

    private static String[] concat(String[] first, String[] second) {
        String[] both = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, both, first.length, second.length);
        return both;
    }

    /** Creates the transfer link of an engine. */
    interface LinkFactory {

        /** Returns a new link that reports the end of each import to the listener. */
        KvTransferLink newLink(KvTransferLink.ImportListener listener);
    }

    private static final class Counters {

        private long prefilledTokens;
        private long prefills;
        private long decodes;
        private long decodedTokens;
        private long exportsEvicted;
        private long cancels;
        private long fencingRefusals;
    }
}
