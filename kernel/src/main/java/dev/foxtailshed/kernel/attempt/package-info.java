/** The state of one attempt and of its streamed answer, as tracked by the entry. */
package dev.foxtailshed.kernel.attempt;
