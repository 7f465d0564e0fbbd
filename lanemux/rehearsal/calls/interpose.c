/* A preloaded library that makes calls of the C library fail as its environment says, and counts them.
 *
 * LANEMUX_FAIL         rules, separated by ';': KIND:ERRNO:SPAN[:PER_MILLE]. ERRNO is a number. SPAN is "kA-B", the A-th to
 *                      the B-th counted call of that kind, or "tA-B", all calls from A to B ms after counting began. With
 *                      PER_MILLE, only that many of 1000 calls in the span fail, drawn by LANEMUX_FAIL_SEED.
 * LANEMUX_FAIL_COUNTS  a file that is mapped to hold the counts: for each kind, in the order of `kinds`, three 32-bit
 *                      numbers: calls before counting began, calls since, and calls that were made to fail.
 * LANEMUX_FAIL_AT      "start": count from the first call on; otherwise from the first time that the process blocks
 *                      SIGTERM, which is the first thing that the program does.
 *
 * Calls that the C library and the dynamic loader make internally are not intercepted.
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
#define AS_STRING(name) #name,
enum kind { KINDS(AS_ENUM) KIND_COUNT };
static const char *const kinds[] = {KINDS(AS_STRING)};

struct counts {
    uint32_t before, since, failed;
};

struct rule {
    enum kind kind;
    int error;
    char unit; /* 'k': call numbers, 't': ms since counting began */
    long first, last;
    int per_mille;
};

#define MAX_RULES 64

static struct counts local_counts[KIND_COUNT];
static struct counts *counts = local_counts;
static struct rule rules[MAX_RULES];
static int rule_count;
static uint64_t seed;
static int counting;
static long counting_since_ms;
static int ready;

static long now_ms(void) {
    struct timespec now;
    syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &now);
    return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static void start_counting(void) {
    if (!counting) {
        counting_since_ms = now_ms();
        counting = 1;
    }
}

static void read_rules(const char *text) {
    while (text && *text && rule_count < MAX_RULES) {
        char name[32];
        struct rule rule = {.per_mille = 1000};
        if (sscanf(text, "%31[^:]:%d:%c%ld-%ld:%d", name, &rule.error, &rule.unit, &rule.first, &rule.last,
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

__attribute__((constructor)) static void initialize(void) {
    const char *path = getenv("LANEMUX_FAIL_COUNTS"), *at = getenv("LANEMUX_FAIL_AT");
    const char *seed_text = getenv("LANEMUX_FAIL_SEED");
    seed = seed_text ? strtoull(seed_text, NULL, 10) : 0;
    read_rules(getenv("LANEMUX_FAIL"));
    if (path) {
        int fd = syscall(SYS_openat, AT_FDCWD, path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
        if (fd >= 0 && !syscall(SYS_ftruncate, fd, sizeof local_counts)) {
            void *mapped = (void *)syscall(SYS_mmap, NULL, sizeof local_counts, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
            if (mapped != MAP_FAILED)
                counts = mapped;
        }
        if (fd >= 0)
            syscall(SYS_close, fd);
    }
    if (at && !strcmp(at, "start"))
        start_counting();
    ready = 1;
}

static uint64_t splitmix64(uint64_t value) {
    value += 0x9e3779b97f4a7c15u;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9u;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebu;
    return value ^ (value >> 31);
}

/* Counts a call; returns the errno that it is to fail with, or 0. */
static int injected_error(enum kind kind) {
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
        if (rule->unit == 't' && age_ms < 0)
            age_ms = now_ms() - counting_since_ms;
        long position = rule->unit == 't' ? age_ms : number;
        if (position < rule->first || position > rule->last)
            continue;
        if (rule->per_mille < 1000 && (int)(splitmix64(seed ^ ((uint64_t)kind << 40) ^ number) % 1000) >= rule->per_mille)
            continue;
        counts[kind].failed++;
        return rule->error;
    }
    return 0;
}

#define RETURN_IF_INJECTED(kind, failed_result)                                                                        \
    do {                                                                                                               \
        int error = injected_error(KIND_##kind);                                                                       \
        if (error) {                                                                                                   \
            errno = error;                                                                                             \
            return failed_result;                                                                                      \
        }                                                                                                              \
    } while (0)

#define NEXT(name) ((__typeof__(&name))next_symbol(#name))

static void *next_symbol(const char *name) { return dlsym(RTLD_NEXT, name); }

/* Defines a call that forwards its arguments unchanged unless a rule makes it fail. */
#define FORWARD(kind, failed_result, result, name, parameters, ...)                                                    \
    result name parameters {                                                                                           \
        static __typeof__(&name) next;                                                                                 \
        if (!next)                                                                                                     \
            next = NEXT(name);                                                                                         \
        RETURN_IF_INJECTED(kind, failed_result);                                                                       \
        return next(__VA_ARGS__);                                                                                      \
    }

#define DEFINE_OPEN(name)                                                                                              \
    int name(const char *path, int flags, ...) {                                                                       \
        va_list arguments;                                                                                             \
        va_start(arguments, flags);                                                                                    \
        mode_t mode = va_arg(arguments, mode_t);                                                                       \
        va_end(arguments);                                                                                             \
        RETURN_IF_INJECTED(open, -1);                                                                                  \
        return NEXT(name)(path, flags, mode);                                                                          \
    }
DEFINE_OPEN(open)
DEFINE_OPEN(open64)

#define DEFINE_OPENAT(name)                                                                                            \
    int name(int dir_fd, const char *path, int flags, ...) {                                                           \
        va_list arguments;                                                                                             \
        va_start(arguments, flags);                                                                                    \
        mode_t mode = va_arg(arguments, mode_t);                                                                       \
        va_end(arguments);                                                                                             \
        RETURN_IF_INJECTED(open, -1);                                                                                  \
        return NEXT(name)(dir_fd, path, flags, mode);                                                                  \
    }
DEFINE_OPENAT(openat)
DEFINE_OPENAT(openat64)

FORWARD(open, NULL, FILE *, fopen, (const char *path, const char *mode), path, mode)
FORWARD(open, NULL, FILE *, fopen64, (const char *path, const char *mode), path, mode)
FORWARD(opendir, NULL, DIR *, opendir, (const char *path), path)
FORWARD(opendir, NULL, DIR *, fdopendir, (int fd), fd)
FORWARD(read, -1, ssize_t, read, (int fd, void *data, size_t size), fd, data, size)
FORWARD(stat, -1, int, stat, (const char *path, struct stat *found), path, found)
FORWARD(stat, -1, int, stat64, (const char *path, struct stat64 *found), path, found)
FORWARD(stat, -1, int, lstat, (const char *path, struct stat *found), path, found)
FORWARD(stat, -1, int, lstat64, (const char *path, struct stat64 *found), path, found)
FORWARD(stat, -1, int, fstat, (int fd, struct stat *found), fd, found)
FORWARD(stat, -1, int, fstat64, (int fd, struct stat64 *found), fd, found)
FORWARD(stat, -1, int, fstatat, (int dir_fd, const char *path, struct stat *found, int flags), dir_fd, path, found, flags)
FORWARD(stat, -1, int, fstatat64, (int dir_fd, const char *path, struct stat64 *found, int flags), dir_fd, path, found, flags)
FORWARD(write, -1, ssize_t, write, (int fd, const void *data, size_t size), fd, data, size)
FORWARD(socket, -1, int, socket, (int family, int type, int protocol), family, type, protocol)
FORWARD(socketpair, -1, int, socketpair, (int family, int type, int protocol, int pair[2]), family, type, protocol, pair)
FORWARD(bind, -1, int, bind, (int fd, const struct sockaddr *address, socklen_t size), fd, address, size)
FORWARD(listen, -1, int, listen, (int fd, int backlog), fd, backlog)
FORWARD(accept, -1, int, accept, (int fd, struct sockaddr *address, socklen_t *size), fd, address, size)
FORWARD(accept, -1, int, accept4, (int fd, struct sockaddr *address, socklen_t *size, int flags), fd, address, size, flags)
FORWARD(connect, -1, int, connect, (int fd, const struct sockaddr *address, socklen_t size), fd, address, size)
FORWARD(setsockopt, -1, int, setsockopt, (int fd, int level, int name, const void *value, socklen_t size), fd, level, name, value, size)
FORWARD(getsockopt, -1, int, getsockopt, (int fd, int level, int name, void *value, socklen_t *size), fd, level, name, value, size)
FORWARD(getsockname, -1, int, getsockname, (int fd, struct sockaddr *address, socklen_t *size), fd, address, size)
FORWARD(getpeername, -1, int, getpeername, (int fd, struct sockaddr *address, socklen_t *size), fd, address, size)
FORWARD(shutdown, -1, int, shutdown, (int fd, int how), fd, how)
FORWARD(send, -1, ssize_t, send, (int fd, const void *data, size_t size, int flags), fd, data, size, flags)
FORWARD(recv, -1, ssize_t, recv, (int fd, void *data, size_t size, int flags), fd, data, size, flags)
FORWARD(sendto, -1, ssize_t, sendto, (int fd, const void *data, size_t size, int flags, const struct sockaddr *address, socklen_t length), fd, data, size, flags, address, length)
FORWARD(recvfrom, -1, ssize_t, recvfrom, (int fd, void *data, size_t size, int flags, struct sockaddr *address, socklen_t *length), fd, data, size, flags, address, length)
FORWARD(epoll_create, -1, int, epoll_create1, (int flags), flags)
FORWARD(epoll_create, -1, int, epoll_create, (int size), size)
FORWARD(epoll_ctl, -1, int, epoll_ctl, (int epoll_fd, int operation, int fd, struct epoll_event *event), epoll_fd, operation, fd, event)
FORWARD(epoll_wait, -1, int, epoll_wait, (int epoll_fd, struct epoll_event *events, int max_events, int timeout), epoll_fd, events, max_events, timeout)
FORWARD(getrandom, -1, ssize_t, getrandom, (void *data, size_t size, unsigned flags), data, size, flags)
FORWARD(mmap, MAP_FAILED, void *, mmap, (void *address, size_t size, int protection, int flags, int fd, off_t offset), address, size, protection, flags, fd, offset)
FORWARD(mmap, MAP_FAILED, void *, mmap64, (void *address, size_t size, int protection, int flags, int fd, off64_t offset), address, size, protection, flags, fd, offset)
FORWARD(lseek, -1, off_t, lseek, (int fd, off_t offset, int whence), fd, offset, whence)
FORWARD(lseek, -1, off64_t, lseek64, (int fd, off64_t offset, int whence), fd, offset, whence)
FORWARD(fsync, -1, int, fsync, (int fd), fd)
FORWARD(rename, -1, int, rename, (const char *old, const char *new), old, new)
FORWARD(unlink, -1, int, unlink, (const char *path), path)
FORWARD(mkdir, -1, int, mkdir, (const char *path, mode_t mode), path, mode)
FORWARD(sigaction, -1, int, sigaction, (int signal_number, const struct sigaction *new, struct sigaction *old), signal_number, new, old)

/* Only the first read of a directory can fail: the C library reads entries in batches of some hundred, so that most calls
 * of readdir make no system call. */
#define DEFINE_READDIR(entry, name)                                                                                    \
    struct entry *name(DIR *directory) {                                                                               \
        if (telldir(directory) == 0)                                                                                   \
            RETURN_IF_INJECTED(readdir, NULL);                                                                         \
        return NEXT(name)(directory);                                                                                  \
    }
DEFINE_READDIR(dirent, readdir)
DEFINE_READDIR(dirent64, readdir64)

/* The descriptor is closed even if close reports an error, as on Linux (close(2)). */
int close(int fd) {
    int error = injected_error(KIND_close), result = syscall(SYS_close, fd);
    if (error) {
        errno = error;
        return -1;
    }
    return result;
}

/* Defines a call that takes a command and one further argument of any type. */
#define DEFINE_COMMAND_CALL(kind, name, command_type, number)                                                          \
    int name(int fd, command_type command, ...) {                                                                      \
        va_list arguments;                                                                                             \
        va_start(arguments, command);                                                                                  \
        void *argument = va_arg(arguments, void *);                                                                    \
        va_end(arguments);                                                                                             \
        RETURN_IF_INJECTED(kind, -1);                                                                                  \
        return syscall(number, fd, command, argument);                                                                 \
    }
DEFINE_COMMAND_CALL(fcntl, fcntl, int, SYS_fcntl)
DEFINE_COMMAND_CALL(fcntl, fcntl64, int, SYS_fcntl)
DEFINE_COMMAND_CALL(ioctl, ioctl, unsigned long, SYS_ioctl)

/* Set after an injected failure of dlopen: the next call of dlerror returns the loader's message for it, once. */
static __thread int load_failed;

void *dlopen(const char *path, int flags) {
    static void *(*next)(const char *, int);
    if (!next)
        next = next_symbol("dlopen");
    load_failed = path && injected_error(KIND_dlopen);
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
        start_counting();
    return next(how, new, old);
}
