package dev.foxtailshed.kernel.ledger;

import dev.foxtailshed.kernel.Verdict;
import java.util.Optional;

/**
 * The ledger's answer to a query for the outcome of an attempt.
 *
 * @param <A> the type of stored answers
 */
public sealed interface QueryDecision<A> {

    /**
     * The final outcome; later queries provide no more information.
     *
     * @param verdict whether the attempt may have run
     * @param answer the stored answer, if the attempt ran and its answer is kept
     */
    record Known<A>(Verdict verdict, Optional<A> answer) implements QueryDecision<A> {}

    /** The attempt is running; a {@link LedgerEffect.OutcomeKnown} effect follows when it ends. */
    record Running<A>() implements QueryDecision<A> {}
}
