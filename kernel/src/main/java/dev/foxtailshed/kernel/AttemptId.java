package dev.foxtailshed.kernel;

/**
 * Identifies one attempt of one request across all processes.
 *
 * @param entryIncarnation the random number that identifies one start of an entry
 * @param sequence the number of the request at that entry
 * @param attempt the number of the attempt of that request, from zero
 */
public record AttemptId(long entryIncarnation, long sequence, int attempt) {

    /**
     * Returns the id of the next attempt of the same request.
     *
     * @return the id
     */
    public AttemptId next() {
        return new AttemptId(entryIncarnation, sequence, attempt + 1);
    }

    /**
     * Returns the text form used in logs, in records and in requests to engines.
     *
     * @return incarnation, sequence and attempt, separated by hyphens
     */
    public String label() {
        return Long.toHexString(entryIncarnation) + "-" + sequence + "-" + attempt;
    }
}
