#include "cli/completion.h"

#include "cli/commands.h"

namespace currantwalk {

std::string bashCompletion()
{
    std::string commands;
    for (const Command &command : allCommands())
        commands += (commands.empty() ? "" : " ") + std::string(command.name);
    return "_currantwalk()\n"
           "{\n"
           "    local current=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD-1]}\n"
           "    local commands=\""
           + commands
           + "\"\n"
             "    local options=\"--node --key-file --json --timeout --tls-authorities"
             " --tls-certificate --tls-key --base --author --publication-id --recovery --by --page "
             "--deadline"
             " --help --version\"\n"
             "    local word command=\n"
             "    for word in \"${COMP_WORDS[@]:1:COMP_CWORD-1}\"; do\n"
             "        case \" $commands \" in *\" $word \"*) command=$word ;; esac\n"
             "    done\n"
             "    case $previous in\n"
             "        --key-file|-k|--tls-*) COMPREPLY=($(compgen -f -- \"$current\")); return ;;\n"
             "    esac\n"
             "    case $current in\n"
             "        -*) COMPREPLY=($(compgen -W \"$options\" -- \"$current\")); return ;;\n"
             "    esac\n"
             "    case $command in\n"
             "        '') COMPREPLY=($(compgen -W \"$commands\" -- \"$current\")) ;;\n"
             "        check|publish|diff|explain|logs) COMPREPLY=($(compgen -f -- \"$current\")) "
             ";;\n"
             "        poison) COMPREPLY=($(compgen -W \"list clear\" -- \"$current\")) ;;\n"
             "        help) COMPREPLY=($(compgen -W \"$commands\" -- \"$current\")) ;;\n"
             "        completion) COMPREPLY=($(compgen -W bash -- \"$current\")) ;;\n"
             "    esac\n"
             "}\n"
             "complete -o filenames -F _currantwalk currantwalk\n";
}

} // namespace currantwalk
