package dev.foxtailshed.daemon.internal.events;

/**
 * A named value of an event.
 *
 * @param name the name in camel case, ending in the unit if there is one
 * @param value the value as text
 */
public record Field(String name, String value) {

    /**
     * Creates a field with the text of any value.
     *
     * @param name the name in camel case
     * @param value the value, converted by {@link String#valueOf(Object)}
     * @return the field
     */
    public static Field of(String name, Object value) {
        return new Field(name, String.valueOf(value));
    }
}
