package dev.foxtailshed.wire.internal;

import dev.foxtailshed.kernel.AttemptId;
import java.lang.reflect.Constructor;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Creates records with random field values, for all record types that messages contain. */
final class RandomRecords {

    private static final String[] SHORT_TEXTS = {"", "a", "été 雪 🦊", "x".repeat(40)};
    private static final String[] LONG_TEXTS = {
        "", "été 雪 🦊", "x".repeat(300), "y".repeat(70_000)
    };
    private static final long[] NUMBERS = {0, 1, -1, 127, 128, 1L << 31, Long.MIN_VALUE};

    private final RandomGenerator random;
    private final String[] texts;

    private RandomRecords(RandomGenerator random, String[] texts) {
        this.random = random;
        this.texts = texts;
    }

    static RandomRecords withLongTexts(RandomGenerator random) {
        return new RandomRecords(random, LONG_TEXTS);
    }

    static RandomRecords withShortTexts(RandomGenerator random) {
        return new RandomRecords(random, SHORT_TEXTS);
    }

    Object create(Type type) {
        if (type instanceof ParameterizedType) {
            ParameterizedType generic = (ParameterizedType) type;
            return createGeneric(generic.getRawType(), generic.getActualTypeArguments()[0]);
        }
        Class<?> raw = (Class<?>) type;
        if (raw == String.class) {
            return oneOf(texts);
        } else if (raw == byte[].class) {
            byte[] bytes = new byte[random.nextInt(40)];
            random.nextBytes(bytes);
            return bytes;
        } else if (raw == long.class) {
            return random.nextBoolean()
                    ? NUMBERS[random.nextInt(NUMBERS.length)]
                    : random.nextLong();
        } else if (raw == int.class) {
            return random.nextInt();
        } else if (raw == boolean.class) {
            return random.nextBoolean();
        } else if (raw.isEnum()) {
            return oneOf(raw.getEnumConstants());
        } else if (raw.isSealed()) {
            return create(oneOf(raw.getPermittedSubclasses()));
        } else if (raw.isRecord()) {
            return createRecord(raw);
        }
        throw new IllegalArgumentException("no random values for " + raw);
    }

    static AttemptId attemptId(long sequence) {
        return new AttemptId(7, sequence, 0);
    }

    private Object createGeneric(Type raw, Type element) {
        if (raw == Optional.class) {
            return random.nextBoolean() ? Optional.of(create(element)) : Optional.empty();
        }
        List<Object> list = new ArrayList<>();
        for (int i = random.nextInt(20); i > 0; i--) {
            list.add(create(element));
        }
        return list;
    }

    private Object createRecord(Class<?> type) {
        RecordComponent[] components = type.getRecordComponents();
        Class<?>[] types = new Class<?>[components.length];
        Object[] values = new Object[components.length];
        for (int i = 0; i < components.length; i++) {
            types[i] = components[i].getType();
            values[i] = create(components[i].getGenericType());
        }
        try {
            Constructor<?> constructor = type.getDeclaredConstructor(types);
            return constructor.newInstance(values);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    private <T> T oneOf(T[] values) {
        return values[random.nextInt(values.length)];
    }
}
