/* A library to be preloaded: makes calls of the C library fail as its environment says, and counts them.
 *
 * LANEMUX_FAIL         rules, separated by ';': KIND:ERRNO:SPAN[:PER_MILLE]. ERRNO is a number. SPAN is "kA-B", the A-th to
 *                      the B-th counted call of that kind, or "tA-B", all from A to B ms after counting began. With
 *                      PER_MILLE only so many of a thousand calls in the span fail, drawn by LANEMUX_FAIL_SEED.
 * LANEMUX_FAIL_COUNTS  a file to which the counts are mapped: for each kind in the order of `kinds`, three numbers of 32
 *                      bits: calls before counting began, calls since, and those that were made to fail.
 * LANEMUX_FAIL_AT      "start": count from the first call on; else from the first time that the process blocks SIGTERM,
 *                      which is the first thing that the program does.
 *
 * What the C library and the dynamic loader do inside themselves is not seen.
 */
#define _GNU_SOURCE
#include <dirent.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#define KINDS(X)                                                                                                       \
    X(open) X(opendir) X(readdir) X(read) X(stat) X(close) X(write) X(fcntl) X(ioctl) X(socket) X(socketpair) X(bind)  \
    X(listen) X(accept) X(connect) X(setsockopt) X(getsockopt) X(getsockname) X(getpeername) X(shutdown) X(send)       \
    X(recv) X(sendto) X(recvfrom) X(epoll_create) X(epoll_ctl) X(epoll_wait) X(getrandom) X(dlopen) X(mmap) X(lseek)   \
    X(fsync) X(rename) X(unlink) X(mkdir) X(sigaction)

#define AS_ENUM(name) KIND_##name,
#define AS_TEXT(name) #name,
enum kind { KINDS(AS_ENUM) KIND_COUNT };
static const char *const kinds[] = {KINDS(AS_TEXT)};

struct counts {
    uint32_t before, since, failed;
};

struct rule {
    enum kind kind;
    int error;
    char by; /* 'k' or 't' */
    long from, until;
    int per_mille;
};

#define MOST_RULES 64

static struct counts own_counts[KIND_COUNT];
static struct counts *counts = own_counts;
static struct rule rules[MOST_RULES];
static int rule_count;
static uint64_t seed;
static int counting;
static long began_ms;
static int ready;

static long now_ms(void) {
    struct timespec now;
    syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &now);
    return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static void begin_counting(void) {
    if (!counting) {
        began_ms = now_ms();
        counting = 1;
    }
}

static void read_rules(const char *text) {
    while (text && *text && rule_count < MOST_RULES) {
        char name[32];
        struct rule rule = {.per_mille = 1000};
        if (sscanf(text, "%31[^:]:%d:%c%ld-%ld:%d", name, &rule.error, &rule.by, &rule.from, &rule.until,
                   &rule.per_mille) >= 5) {
            for (int kind = 0; kind < KIND_COUNT; kind++)
                if (!strcmp(name, kinds[kind])) {
                    rule.kind = kind;
                    rules[rule_count++] = rule;
                }
        }
        text = strchr(text, ';');
        text = text ? text + 1 : NULL;
    }
}

__attribute__((constructor)) static void set_up(void) {
    const char *path = getenv("LANEMUX_FAIL_COUNTS"), *at = getenv("LANEMUX_FAIL_AT");
    const char *seed_text = getenv("LANEMUX_FAIL_SEED");
    seed = seed_text ? strtoull(seed_text, NULL, 10) : 0;
    read_rules(getenv("LANEMUX_FAIL"));
    if (path) {
        int file = syscall(SYS_openat, AT_FDCWD, path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
        if (file >= 0 && !syscall(SYS_ftruncate, file, sizeof own_counts)) {
            void *mapped = (void *)syscall(SYS_mmap, NULL, sizeof own_counts, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
            if (mapped != MAP_FAILED)
                counts = mapped;
        }
        if (file >= 0)
            syscall(SYS_close, file);
    }
    if (at && !strcmp(at, "start"))
        begin_counting();
    ready = 1;
}

static uint64_t mixed(uint64_t value) {
    value += 0x9e3779b97f4a7c15u;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9u;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebu;
    return value ^ (value >> 31);
}

/* The error that this call is to fail with; 0: none. */
static int failure(enum kind kind) {
    if (!ready)
        return 0;
    if (!counting) {
        counts[kind].before++;
        return 0;
    }
    long number = ++counts[kind].since, age_ms = -1;
    for (int i = 0; i < rule_count; i++) {
        const struct rule *rule = &rules[i];
        if (rule->kind != kind)
            continue;
        if (rule->by == 't' && age_ms < 0)
            age_ms = now_ms() - began_ms;
        long at = rule->by == 't' ? age_ms : number;
        if (at < rule->from || at > rule->until)
            continue;
        if (rule->per_mille < 1000 && (int)(mixed(seed ^ ((uint64_t)kind << 40) ^ number) % 1000) >= rule->per_mille)
            continue;
        counts[kind].failed++;
        return rule->error;
    }
    return 0;
}

#define FAIL(kind, bad)                                                                                                \
    do {                                                                                                               \
        int error = failure(KIND_##kind);                                                                              \
        if (error) {                                                                                                   \
            errno = error;                                                                                             \
            return bad;                                                                                                \
        }                                                                                                              \
    } while (0)

#define NEXT(name) ((__typeof__(&name))next_symbol(#name))

static void *next_symbol(const char *name) { return dlsym(RTLD_NEXT, name); }

/* Calls whose arguments go on as they are. */
#define PASS(kind, bad, result, name, parameters, ...)                                                                 \
    result name parameters {                                                                                           \
        static __typeof__(&name) next;                                                                                 \
        if (!next)                                                                                                     \
            next = NEXT(name);                                                                                         \
        FAIL(kind, bad);                                                                                               \
        return next(__VA_ARGS__);                                                                                      \
    }

#define OPENS(name)                                                                                                    \
    int name(const char *path, int flags, ...) {                                                                       \
        va_list more;                                                                                                  \
        va_start(more, flags);                                                                                         \
        mode_t mode = va_arg(more, mode_t);                                                                            \
        va_end(more);                                                                                                  \
        FAIL(open, -1);                                                                                                \
        return NEXT(name)(path, flags, mode);                                                                          \
    }
OPENS(open)
OPENS(open64)

#define OPENS_AT(name)                                                                                                 \
    int name(int folder, const char *path, int flags, ...) {                                                           \
        va_list more;                                                                                                  \
        va_start(more, flags);                                                                                         \
        mode_t mode = va_arg(more, mode_t);                                                                            \
        va_end(more);                                                                                                  \
        FAIL(open, -1);                                                                                                \
        return NEXT(name)(folder, path, flags, mode);                                                                  \
    }
OPENS_AT(openat)
OPENS_AT(openat64)

PASS(open, NULL, FILE *, fopen, (const char *path, const char *mode), path, mode)
PASS(open, NULL, FILE *, fopen64, (const char *path, const char *mode), path, mode)
PASS(opendir, NULL, DIR *, opendir, (const char *path), path)
PASS(opendir, NULL, DIR *, fdopendir, (int file), file)
PASS(read, -1, ssize_t, read, (int file, void *data, size_t size), file, data, size)
PASS(stat, -1, int, stat, (const char *path, struct stat *found), path, found)
PASS(stat, -1, int, stat64, (const char *path, struct stat64 *found), path, found)
PASS(stat, -1, int, lstat, (const char *path, struct stat *found), path, found)
PASS(stat, -1, int, lstat64, (const char *path, struct stat64 *found), path, found)
PASS(stat, -1, int, fstat, (int file, struct stat *found), file, found)
PASS(stat, -1, int, fstat64, (int file, struct stat64 *found), file, found)
PASS(stat, -1, int, fstatat, (int folder, const char *path, struct stat *found, int flags), folder, path, found, flags)
PASS(stat, -1, int, fstatat64, (int folder, const char *path, struct stat64 *found, int flags), folder, path, found, flags)
PASS(write, -1, ssize_t, write, (int file, const void *data, size_t size), file, data, size)
PASS(socket, -1, int, socket, (int family, int type, int protocol), family, type, protocol)
PASS(socketpair, -1, int, socketpair, (int family, int type, int protocol, int pair[2]), family, type, protocol, pair)
PASS(bind, -1, int, bind, (int file, const struct sockaddr *address, socklen_t size), file, address, size)
PASS(listen, -1, int, listen, (int file, int backlog), file, backlog)
PASS(accept, -1, int, accept, (int file, struct sockaddr *address, socklen_t *size), file, address, size)
PASS(accept, -1, int, accept4, (int file, struct sockaddr *address, socklen_t *size, int flags), file, address, size, flags)
PASS(connect, -1, int, connect, (int file, const struct sockaddr *address, socklen_t size), file, address, size)
PASS(setsockopt, -1, int, setsockopt, (int file, int level, int name, const void *value, socklen_t size), file, level, name, value, size)
PASS(getsockopt, -1, int, getsockopt, (int file, int level, int name, void *value, socklen_t *size), file, level, name, value, size)
PASS(getsockname, -1, int, getsockname, (int file, struct sockaddr *address, socklen_t *size), file, address, size)
PASS(getpeername, -1, int, getpeername, (int file, struct sockaddr *address, socklen_t *size), file, address, size)
PASS(shutdown, -1, int, shutdown, (int file, int how), file, how)
PASS(send, -1, ssize_t, send, (int file, const void *data, size_t size, int flags), file, data, size, flags)
PASS(recv, -1, ssize_t, recv, (int file, void *data, size_t size, int flags), file, data, size, flags)
PASS(sendto, -1, ssize_t, sendto, (int file, const void *data, size_t size, int flags, const struct sockaddr *address, socklen_t length), file, data, size, flags, address, length)
PASS(recvfrom, -1, ssize_t, recvfrom, (int file, void *data, size_t size, int flags, struct sockaddr *address, socklen_t *length), file, data, size, flags, address, length)
PASS(epoll_create, -1, int, epoll_create1, (int flags), flags)
PASS(epoll_create, -1, int, epoll_create, (int size), size)
PASS(epoll_ctl, -1, int, epoll_ctl, (int poll, int operation, int file, struct epoll_event *event), poll, operation, file, event)
PASS(epoll_wait, -1, int, epoll_wait, (int poll, struct epoll_event *events, int most, int timeout), poll, events, most, timeout)
PASS(getrandom, -1, ssize_t, getrandom, (void *data, size_t size, unsigned flags), data, size, flags)
PASS(mmap, MAP_FAILED, void *, mmap, (void *address, size_t size, int protection, int flags, int file, off_t offset), address, size, protection, flags, file, offset)
PASS(mmap, MAP_FAILED, void *, mmap64, (void *address, size_t size, int protection, int flags, int file, off64_t offset), address, size, protection, flags, file, offset)
PASS(lseek, -1, off_t, lseek, (int file, off_t offset, int whence), file, offset, whence)
PASS(lseek, -1, off64_t, lseek64, (int file, off64_t offset, int whence), file, offset, whence)
PASS(fsync, -1, int, fsync, (int file), file)
PASS(rename, -1, int, rename, (const char *old, const char *new), old, new)
PASS(unlink, -1, int, unlink, (const char *path), path)
PASS(mkdir, -1, int, mkdir, (const char *path, mode_t mode), path, mode)
PASS(sigaction, -1, int, sigaction, (int number, const struct sigaction *new, struct sigaction *old), number, new, old)

/* Only the first of a folder's entries takes a system call (or one of some hundred). */
#define READS_FOLDER(entry, name)                                                                                      \
    struct entry *name(DIR *folder) {                                                                                  \
        if (telldir(folder) == 0)                                                                                      \
            FAIL(readdir, NULL);                                                                                       \
        return NEXT(name)(folder);                                                                                     \
    }
READS_FOLDER(dirent, readdir)
READS_FOLDER(dirent64, readdir64)

/* The descriptor is closed also where close says that it failed (close(2)). */
int close(int file) {
    int error = failure(KIND_close), result = syscall(SYS_close, file);
    if (error) {
        errno = error;
        return -1;
    }
    return result;
}

/* Calls with one argument of any kind behind the command. */
#define COMMANDS(kind, name, command_type, number)                                                                     \
    int name(int file, command_type command, ...) {                                                                    \
        va_list more;                                                                                                  \
        va_start(more, command);                                                                                       \
        void *argument = va_arg(more, void *);                                                                         \
        va_end(more);                                                                                                  \
        FAIL(kind, -1);                                                                                                \
        return syscall(number, file, command, argument);                                                               \
    }
COMMANDS(fcntl, fcntl, int, SYS_fcntl)
COMMANDS(fcntl, fcntl64, int, SYS_fcntl)
COMMANDS(ioctl, ioctl, unsigned long, SYS_ioctl)

/* A shared object that can't be loaded: what the loader says is told to whoever asks once. */
static __thread int load_failed;

void *dlopen(const char *path, int flags) {
    static void *(*next)(const char *, int);
    if (!next)
        next = next_symbol("dlopen");
    load_failed = path && failure(KIND_dlopen);
    return load_failed ? NULL : next(path, flags);
}

char *dlerror(void) {
    static char *(*next)(void);
    if (!next)
        next = next_symbol("dlerror");
    if (load_failed) {
        load_failed = 0;
        return (char *)"cannot read file data";
    }
    return next();
}

int pthread_sigmask(int how, const sigset_t *new, sigset_t *old) {
    static int (*next)(int, const sigset_t *, sigset_t *);
    if (!next)
        next = next_symbol("pthread_sigmask");
    if (how == SIG_BLOCK && new && sigismember(new, SIGTERM))
        begin_counting();
    return next(how, new, old);
}
