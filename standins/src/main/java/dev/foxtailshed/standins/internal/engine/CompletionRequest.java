package dev.foxtailshed.standins.internal.engine;

/**
 * The JSON body of a completion call.
 *
 * @param model the model to run
 * @param prompt the prompt
 * @param maxTokens the maximum number of tokens of the complete text, or null for the default
 * @param stream whether the response is streamed
 * @param priority the priority; lower values are prefilled first
 * @param continueText the text that an earlier run generated, or null
 * @param continueTokens the number of tokens that an earlier run generated
 * @param kvTransferParams the transfer of the KV cache
 */
record CompletionRequest(
        String model,
        String prompt,
        Integer maxTokens,
        boolean stream,
        int priority,
        String continueText,
        int continueTokens,
        KvTransferParams kvTransferParams) {

    private static final int DEFAULT_MAXIMUM_TOKENS = 16;

    int maximumTokens() {
        return maxTokens == null ? DEFAULT_MAXIMUM_TOKENS : maxTokens;
    }

    boolean isWellFormed() {
        return model != null
                && prompt != null
                && maximumTokens() > 0
                && continueTokens >= 0
                && kvTransferParams != null
                && kvTransferParams.isWellFormed();
    }

    boolean isPrefill() {
        return kvTransferParams.doRemoteDecode();
    }

    /**
     * The transfer of the KV cache between engines.
     *
     * @param doRemoteDecode whether this engine only prefills and another engine decodes
     * @param doRemotePrefill whether another engine has prefilled the prompt
     * @param handle the handle of the export
     * @param sourceUrl the base URL of the engine that holds the export
     * @param sizeBytes the size of the export
     */
    record KvTransferParams(
            boolean doRemoteDecode,
            boolean doRemotePrefill,
            String handle,
            String sourceUrl,
            long sizeBytes) {

        boolean isWellFormed() {
            boolean imports =
                    doRemotePrefill && handle != null && sourceUrl != null && sizeBytes >= 0;
            return doRemoteDecode != imports;
        }
    }
}
